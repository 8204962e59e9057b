//! Demo: starts a small fleet and checks online, batch and service traffic while a daemon is
//! killed, then does the same with relays.

mod relay;

use std::time::{Duration, Instant};

use cyclamengrade_caller::backend::{Item, Job, JobState};
use tokio::time::sleep;

use crate::{
    answer,
    fleet::{self, Completion, Error, Fleet, Plan, VERSION},
    service,
};

/// Maximum length of an output line, so that lines fit the screen of a phone.
const LINE_BYTES: usize = 56;

/// Number of items in the batch job.
const ITEMS: usize = 240;

/// Time limit for the batch job to complete.
const JOB_TIMEOUT: Duration = Duration::from_secs(90);

/// Prints progress and the results of checks, and counts the checks that failed.
#[derive(Debug, Default)]
struct Report {
    failed: u32,
}

impl Report {
    /// Prints a text, wrapped at [`LINE_BYTES`].
    fn print(&self, text: &str) {
        let mut rest = text;
        while rest.len() > LINE_BYTES {
            let Some(end) = rest[..LINE_BYTES].trim_end().rfind(' ').filter(|end| *end > 8) else {
                break;
            };
            println!("{}", &rest[..end]);
            rest = rest[end..].trim_start();
            print!("       ");
        }
        println!("{rest}");
    }

    /// Prints the result of a check and counts it if it failed.
    fn check(&mut self, passed: bool, text: &str) {
        self.failed += u32::from(!passed);
        self.print(&format!("{} {text}", if passed { "  ok  " } else { "  FAILED" }));
    }
}

/// Runs the demo. Returns whether all checks passed.
pub async fn run() -> Result<bool, Error> {
    let start = Instant::now();
    let mut report = Report::default();
    report.print("Starting 2 daemons, a platform, 3 engines, 1 service");
    let plan = Plan::new(2, 3, 1).with_engine_arguments(["--step-ms", "5"]);
    let mut fleet = Fleet::start(plan).await?;
    print_processes(&fleet, &report);
    report.print(&format!("Ready after {:.1} s", start.elapsed().as_secs_f64()));

    check_completion(&fleet, &mut report, 0).await?;
    let job = submit_job(&fleet, &mut report).await?;
    check_service_call(&fleet, &mut report, 0).await?;

    await_progress(&fleet, &job).await?;
    let before_kill = fleet.job(0, &job.id).await?;
    fleet.kill_daemon(0)?;
    let done = before_kill.succeeded + before_kill.failed;
    report.print(&format!("Killed entry-1 with {done} of {ITEMS} items done"));
    check_completion(&fleet, &mut report, 1).await?;
    check_service_call(&fleet, &mut report, 1).await?;
    check_job(&fleet, &mut report, &job).await?;

    let runs: service::Runs = fleet.services[0].read(&fleet.client, "/_runs").await?;
    let once = runs.keys.len() == 2 && runs.keys.values().all(|count| *count == 1);
    report.check(once, "each service call ran exactly once");
    let code = fleet.stop_daemon(1).await?;
    report.check(code == Some(0), "entry-2 ended by graceful shutdown");
    drop(fleet);
    relay::run(&mut report).await?;
    match report.failed {
        0 => report.print(&format!("All checks passed in {:.1} s", start.elapsed().as_secs_f64())),
        failed => report.print(&format!("{failed} checks FAILED")),
    }
    Ok(report.failed == 0)
}

fn print_processes(fleet: &Fleet, report: &Report) {
    let print = |name: &str, id: u32, address| {
        report.print(&format!("  {name:<14} pid {id:<8} {address}"));
    };
    let standins = [&fleet.platform].into_iter().chain(&fleet.engines).chain(&fleet.services);
    for standin in standins {
        print(&standin.name, standin.process.id(), standin.address);
    }
    for daemon in &fleet.daemons {
        let id = daemon.process.as_ref().map_or(0, |process| process.id());
        print(&daemon.name, id, daemon.address);
    }
}

async fn check_completion(fleet: &Fleet, report: &mut Report, daemon: usize) -> Result<(), Error> {
    let name = &fleet.daemons[daemon].name;
    let completion = Completion::new(format!("Confirm the order of {name}"), 24);
    let answer = fleet.complete(daemon, &completion).await?;
    let correct = answer.complete && answer.text == completion.expected();
    let first = answer.first_token.unwrap_or_default().as_millis();
    let tokens = answer.gaps.len() + usize::from(answer.first_token.is_some());
    let text = format!("{name} streamed {tokens} tokens, first after {first} ms");
    report.check(correct, &text);
    if let Some(error) = answer.error {
        report.print(&format!("      error: {error}"));
    }
    Ok(())
}

async fn submit_job(fleet: &Fleet, report: &mut Report) -> Result<Job, Error> {
    let items: Vec<_> = (0..ITEMS).map(batch_item).collect();
    let due = Duration::from_secs(600);
    let reply = fleet.submit(0, "demo-job", due, &items).await?;
    if !(200..300).contains(&reply.status) {
        return Err(Error::Refused(reply.status, reply.text()));
    }
    let job: Job = reply.json()?;
    report.check(job.items == ITEMS as u64, &format!("{ITEMS} items accepted as job {}", job.id));
    Ok(job)
}

/// Returns the batch item with this number. The engines fail item 7 on every attempt.
fn batch_item(number: usize) -> Item {
    let marker = if number == 7 { answer::FAIL_MARKER } else { "" };
    let prompt = format!("Label {number}{marker}: wool, hand-woven in Biella");
    Item { id: format!("item-{number}"), prompt, max_tokens: 40 }
}

async fn check_service_call(
    fleet: &Fleet,
    report: &mut Report,
    daemon: usize,
) -> Result<(), Error> {
    let name = &fleet.daemons[daemon].name;
    let key = format!("artwork-{daemon}");
    let reply = fleet.call_service(daemon, &key, Duration::from_secs(20)).await?;
    report
        .check(reply.status == 200, &format!("{name} answered {key} with status {}", reply.status));
    Ok(())
}

/// Waits until an item of the job has succeeded or the job has ended.
async fn await_progress(fleet: &Fleet, job: &Job) -> Result<(), Error> {
    fleet
        .eventually("progress of the job", async || {
            let job = fleet.job(0, &job.id).await.ok()?;
            (job.succeeded > 0 || job.state != JobState::Open).then_some(())
        })
        .await
}

/// Waits for the end of the job and checks its state, its counts and every result.
async fn check_job(fleet: &Fleet, report: &mut Report, job: &Job) -> Result<(), Error> {
    let start = Instant::now();
    let mut last = fleet.job(1, &job.id).await?;
    while last.state == JobState::Open && start.elapsed() < JOB_TIMEOUT {
        sleep(fleet::POLL_PERIOD).await;
        last = fleet.job(1, &job.id).await?;
    }
    let text = format!("batch job: {} succeeded, {} failed", last.succeeded, last.failed);
    let complete = last.state == JobState::Completed;
    let counts_match = (last.succeeded, last.failed) == (ITEMS as u64 - 1, 1);
    report.check(complete && counts_match, &text);
    let results = fleet.results(1, &job.id).await?;
    let correct = results.iter().enumerate().filter(|(number, result)| {
        let item = batch_item(*number);
        let expected = answer::text(&item.prompt, VERSION, item.max_tokens);
        let text = (!item.prompt.contains(answer::FAIL_MARKER)).then_some(expected);
        result.id == item.id && result.text == text
    });
    let correct = correct.count();
    report.check(correct == ITEMS, &format!("{correct} of {ITEMS} results are correct"));
    Ok(())
}
