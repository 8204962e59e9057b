//! Brings up a small fleet and shows online, batch and service traffic while a daemon dies; then
//! the same with relays.

mod relay;

use std::time::{Duration, Instant};

use cyclamengrade_caller::backend::{Item, Job, JobState};
use tokio::time::sleep;

use crate::{
    answer,
    fleet::{self, Completion, Error, Fleet, Plan, VERSION},
    service,
};

/// Longest line, so that the output fits the width of a phone.
const COLUMNS: usize = 56;

/// Items of the batch job.
const ITEMS: usize = 240;

/// Longest wait for the batch job.
const JOB_LIMIT: Duration = Duration::from_secs(90);

/// Prints what happens and remembers what is missing.
#[derive(Debug, Default)]
struct Report {
    missing: u32,
}

impl Report {
    fn line(&self, text: &str) {
        let mut rest = text;
        while rest.len() > COLUMNS {
            let Some(end) = rest[..COLUMNS].trim_end().rfind(' ').filter(|end| *end > 8) else {
                break;
            };
            println!("{}", &rest[..end]);
            rest = rest[end..].trim_start();
            print!("       ");
        }
        println!("{rest}");
    }

    fn check(&mut self, met: bool, text: &str) {
        self.missing += u32::from(!met);
        self.line(&format!("{} {text}", if met { "  ok  " } else { "  MISSING" }));
    }
}

/// Runs the demo; returns whether everything happened that should.
pub async fn run() -> Result<bool, Error> {
    let start = Instant::now();
    let mut report = Report::default();
    report.line("Starting 2 daemons, a platform, 3 engines, 1 service");
    let plan = Plan::new(2, 3, 1).with_engine_arguments(["--step-ms", "5"]);
    let mut fleet = Fleet::start(plan).await?;
    show_processes(&fleet, &report);
    report.line(&format!("Ready after {:.1} s", start.elapsed().as_secs_f64()));

    online(&fleet, &mut report, 0).await?;
    let job = submit(&fleet, &mut report).await?;
    call_service(&fleet, &mut report, 0).await?;

    await_progress(&fleet, &job).await?;
    let seen = fleet.job(0, &job.id).await?;
    fleet.kill_daemon(0)?;
    let done = seen.succeeded + seen.failed;
    report.line(&format!("Killed entry-1 with {done} of {ITEMS} items done"));
    online(&fleet, &mut report, 1).await?;
    call_service(&fleet, &mut report, 1).await?;
    finish_job(&fleet, &mut report, &job).await?;

    let runs: service::Runs = fleet.services[0].read(&fleet.client, "/_runs").await?;
    let once = runs.keys.len() == 2 && runs.keys.values().all(|count| *count == 1);
    report.check(once, "each service call ran exactly once");
    let code = fleet.stop_daemon(1).await?;
    report.check(code == Some(0), "entry-2 ended by graceful shutdown");
    drop(fleet);
    relay::show(&mut report).await?;
    match report.missing {
        0 => report.line(&format!("All shown in {:.1} s", start.elapsed().as_secs_f64())),
        missing => report.line(&format!("{missing} things are MISSING")),
    }
    Ok(report.missing == 0)
}

fn show_processes(fleet: &Fleet, report: &Report) {
    let show = |name: &str, id: u32, address| {
        report.line(&format!("  {name:<14} pid {id:<8} {address}"));
    };
    let standins = [&fleet.platform].into_iter().chain(&fleet.engines).chain(&fleet.services);
    for standin in standins {
        show(&standin.name, standin.process.id(), standin.address);
    }
    for daemon in &fleet.daemons {
        let id = daemon.process.as_ref().map_or(0, |process| process.id());
        show(&daemon.name, id, daemon.address);
    }
}

async fn online(fleet: &Fleet, report: &mut Report, daemon: usize) -> Result<(), Error> {
    let name = &fleet.daemons[daemon].name;
    let completion = Completion::new(format!("Confirm the order of {name}"), 24);
    let answer = fleet.complete(daemon, &completion).await?;
    let whole = answer.whole && answer.text == completion.expected();
    let first = answer.first_token.unwrap_or_default().as_millis();
    let tokens = answer.gaps.len() + usize::from(answer.first_token.is_some());
    let text = format!("{name} streamed {tokens} tokens, first after {first} ms");
    report.check(whole, &text);
    if let Some(error) = answer.error {
        report.line(&format!("      error: {error}"));
    }
    Ok(())
}

async fn submit(fleet: &Fleet, report: &mut Report) -> Result<Job, Error> {
    let items: Vec<_> = (0..ITEMS).map(item).collect();
    let due = Duration::from_secs(600);
    let reply = fleet.submit(0, "demo-job", due, &items).await?;
    if !(200..300).contains(&reply.status) {
        return Err(Error::Refused(reply.status, reply.text()));
    }
    let job: Job = reply.json()?;
    report.check(job.items == ITEMS as u64, &format!("{ITEMS} items accepted as job {}", job.id));
    Ok(job)
}

fn item(number: usize) -> Item {
    let marker = if number == 7 { answer::FAIL_MARKER } else { "" };
    let prompt = format!("Label {number}{marker}: wool, hand-woven in Biella");
    Item { id: format!("item-{number}"), prompt, max_tokens: 40 }
}

async fn call_service(fleet: &Fleet, report: &mut Report, daemon: usize) -> Result<(), Error> {
    let name = &fleet.daemons[daemon].name;
    let key = format!("artwork-{daemon}");
    let reply = fleet.call_service(daemon, &key, Duration::from_secs(20)).await?;
    report.check(reply.status == 200, &format!("{name} had {key} printed: {}", reply.status));
    Ok(())
}

async fn await_progress(fleet: &Fleet, job: &Job) -> Result<(), Error> {
    fleet
        .eventually("progress of the job", async || {
            let job = fleet.job(0, &job.id).await.ok()?;
            (job.succeeded > 0 || job.state != JobState::Open).then_some(())
        })
        .await
}

async fn finish_job(fleet: &Fleet, report: &mut Report, job: &Job) -> Result<(), Error> {
    let start = Instant::now();
    let mut last = fleet.job(1, &job.id).await?;
    while last.state == JobState::Open && start.elapsed() < JOB_LIMIT {
        sleep(fleet::POLL).await;
        last = fleet.job(1, &job.id).await?;
    }
    let text = format!("job ended: {} answered, {} failed", last.succeeded, last.failed);
    let complete = last.state == JobState::Completed;
    let counts = (last.succeeded, last.failed) == (ITEMS as u64 - 1, 1);
    report.check(complete && counts, &text);
    let results = fleet.results(1, &job.id).await?;
    let right = results.iter().enumerate().filter(|(number, result)| {
        let item = item(*number);
        let expected = answer::text(&item.prompt, VERSION, item.max_tokens);
        let text = (!item.prompt.contains(answer::FAIL_MARKER)).then_some(expected);
        result.id == item.id && result.text == text
    });
    let right = right.count();
    report.check(right == ITEMS, &format!("{right} of {ITEMS} results are right"));
    Ok(())
}
