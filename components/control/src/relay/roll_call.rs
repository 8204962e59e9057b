//! Roll calls: how a relay asks all others through the store whether they are alive.
//!
//! Datagrams alone do not tell a relay whether the others are gone or it is cut off from them. A relay
//! that has no news of the others, or hears nothing from most of them, writes a row. Each relay that
//! follows the store answers by writing its own row again. Those that neither answer nor are heard from
//! are gone. All relays share the calls, so a call of one serves the others as well.

use std::time::Duration;

use crate::time::Time;

/// Age of the last news of the other relays from which a relay asks the store. Several times the period
/// of the reports to monitors, of which some may be lost or stopped.
pub const NEWS_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between the end of a roll call and the next one while the doubt lasts.
const CALL_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a call is written again that the change feed has not delivered.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a small fleet has for its answers: the longest pause of the change feed, the period in which
/// a relay checks its row, and a slow write.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Further time for each relay, since the store takes 200 writes of one part in a second.
const ANSWER_SPACING: Duration = Duration::from_millis(10);
/// Time for which a doubt lasts before a call. The messages that wait for a process which was suspended end
/// most doubts sooner.
const DOUBT_TIME: Duration = Duration::from_secs(1);
/// Longest time that one tick counts for. A process that was suspended has not read the answers yet.
const MAX_STEP: Duration = Duration::from_millis(500);

/// What a relay knows at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Whether it has no news of the others, or hears nothing from most of them.
    pub is_doubtful: bool,
    /// Whether the store and its change feed answer, so that answers arrive.
    pub is_store_current: bool,
    /// Number of relays.
    pub relays: usize,
}

/// What a relay has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the row of a roll call.
    Call,
    /// Draw the conclusions of the roll call whose row has this version.
    Close(u64),
}

/// A call whose answers are awaited.
#[derive(Clone, Copy, Debug)]
struct Open {
    version: u64,
    /// Time for which answers could arrive.
    waited: Duration,
}

/// Roll calls as one relay sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct RollCall {
    open: Option<Open>,
    /// Time for which the doubt has lasted; `None` without one.
    doubt: Option<Duration>,
    written_at: Option<Time>,
    closed_at: Option<Time>,
    ticked_at: Time,
}

impl RollCall {
    /// Records that the change feed delivered the row of a call, of this relay or another one.
    pub fn record_call(&mut self, version: u64) {
        self.open.get_or_insert(Open { version, waited: Duration::ZERO });
    }

    /// Returns what is to be done now. Has to be called a few times a second.
    pub fn tick(&mut self, now: Time, view: View) -> Option<Action> {
        let step = now.since(std::mem::replace(&mut self.ticked_at, now)).min(MAX_STEP);
        if !view.is_store_current {
            // Answers may be lost or late.
            self.open = None;
            self.doubt = None;
            return None;
        }
        let lasted = self.doubt.map_or(Duration::ZERO, |doubt| doubt + step);
        self.doubt = view.is_doubtful.then_some(lasted);
        if let Some(open) = &mut self.open {
            open.waited += step;
            let version = open.version;
            if open.waited < answer_time(view.relays) {
                return None;
            }
            self.open = None;
            self.closed_at = Some(now);
            return view.is_doubtful.then_some(Action::Close(version));
        }
        let is_recent =
            |time: Option<Time>, period| time.is_some_and(|time| now.since(time) < period);
        if self.doubt.is_none_or(|doubt| doubt < DOUBT_TIME)
            || is_recent(self.closed_at, CALL_PERIOD)
            || is_recent(self.written_at, DELIVERY_TIMEOUT)
        {
            return None;
        }
        self.written_at = Some(now);
        Some(Action::Call)
    }
}

fn spread(relays: usize) -> Duration {
    ANSWER_SPACING * u32::try_from(relays).unwrap_or(u32::MAX)
}

fn answer_time(relays: usize) -> Duration {
    ANSWER_TIME.saturating_add(spread(relays))
}

/// Returns the time after which a relay answers a call. `share`, between 0 and 1, differs for each relay.
pub fn answer_delay(relays: usize, share: f64) -> Duration {
    spread(relays).mul_f64(share.clamp(0.0, 1.0))
}
