//! Guards against a graceful shutdown that cuts off requests in flight or never finishes.

use std::time::Duration;

use cyclamengrade_control::{
    drain::{Action, Input, Machine, Phase},
    time::Time,
};
use googletest::prelude::*;
use proptest::prelude::*;

const LEAVE_DURATION: Duration = Duration::from_secs(2);
const TIME_LIMIT: Duration = Duration::from_secs(30);

fn machine() -> Machine {
    let mut machine = Machine::new(LEAVE_DURATION, TIME_LIMIT);
    machine.handle(Time::default(), Input::Ready);
    machine
}

#[gtest]
fn accepts_during_leave() {
    let mut machine = machine();
    machine.handle(Time::default(), Input::Requests(3));
    let actions = machine.handle(Time::from_millis(1_000), Input::Stop);
    expect_that!(
        actions,
        elements_are![
            eq(&Action::Enter(Phase::Leaving)),
            eq(&Action::AnnounceLeave),
            eq(&Action::HandOver)
        ]
    );
    expect_that!(machine.handle(Time::from_millis(2_900), Input::Tick), is_empty());
    expect_that!(
        machine.handle(Time::from_millis(3_000), Input::Tick),
        contains(eq(&Action::StopAccepting))
    );
}

#[gtest]
fn waits_for_requests() {
    let mut machine = machine();
    machine.handle(Time::default(), Input::Requests(1));
    machine.handle(Time::default(), Input::Stop);
    machine.handle(Time::from_millis(2_000), Input::Tick);
    expect_that!(machine.handle(Time::from_millis(9_000), Input::HandedOver), is_empty());
    let actions = machine.handle(Time::from_millis(10_000), Input::Requests(0));
    expect_that!(actions, contains(eq(&Action::Exit { clean: true })));
}

proptest! {
    /// In any order of events, the phase never moves backwards, a daemon that has been asked to
    /// stop exits within its time limit, and it reports a clean exit only with nothing in flight.
    #[test]
    fn exits_once(events in prop::collection::vec((0..5_u8, 0..4_u32), 1..40)) {
        let mut machine = machine();
        let mut stopped_at = None;
        let mut exits = 0;
        let (mut requests, mut handed_over) = (0, false);
        for second in 0..80_u64 {
            let now = Time::from_millis(second * 1_000);
            let (kind, count) = events[second as usize % events.len()];
            let input = match kind {
                0 => Input::Tick,
                1 => Input::Requests(count),
                2 => Input::HandedOver,
                3 => Input::Ready,
                _ => Input::Stop,
            };
            match input {
                Input::Requests(count) => requests = count,
                Input::HandedOver => handed_over = true,
                Input::Stop => stopped_at = stopped_at.or(Some(second)),
                Input::Tick | Input::Ready => {}
            }
            let before = machine.phase();
            let mut actions = machine.handle(now, input);
            actions.extend(machine.handle(now, Input::Tick));
            prop_assert!(machine.phase() >= before);
            for action in actions {
                if let Action::Exit { clean } = action {
                    exits += 1;
                    prop_assert_eq!(clean, requests == 0 && handed_over);
                }
            }
            if stopped_at.is_some_and(|at| second >= at + TIME_LIMIT.as_secs()) {
                prop_assert_eq!(machine.phase(), Phase::Stopped);
            }
        }
        prop_assert_eq!(exits, u32::from(stopped_at.is_some_and(|at| at + 30 < 80)).max(exits));
        prop_assert!(exits <= 1);
    }
}
