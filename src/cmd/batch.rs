//! `batch submit|status|results|cancel`

use std::{
    fs::{self, File},
    io::{self, BufWriter, IsTerminal, Write},
    time::Duration,
};

use cyclamengrade_operator::{Admin, Job, JobState, plan::job_key};

use crate::{
    cli::{self, Call, Exit, Failure},
    cmd::{second, unknown},
    print,
};

/// Help of this subcommand.
pub const HELP: &str = "\
Usage:
  cyclamengrade batch submit FILE --deployment NAME
                [--due TIME] [--key KEY] [--wait]
  cyclamengrade batch status ID
  cyclamengrade batch results ID [--output FILE]
  cyclamengrade batch cancel ID

submit   submits the items in FILE, one JSON object a line
         with id, prompt and max_tokens
         --due   time until the results are needed, such as
                 90s, 30m, 8h (default 24h)
         --key   key of the job; the same key is the same
                 job. Default: a digest of deployment and
                 content, so that a repeated command does
                 not make a second job
         --wait  waits until the job has ended
status   prints the state of a job
results  prints the committed results, one JSON object a
         line, in order of the items
cancel   cancels a job; results stay readable";

const CHOICES: &str = "submit, status, results, cancel";

/// Time until a job is due when the caller names none.
const DUE: Duration = Duration::from_secs(24 * 3_600);

/// Time between two reads of a job's state.
const PERIOD: Duration = Duration::from_millis(500);

/// Time for which a daemon may be unreachable while its job is awaited; longer than a restart.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Runs the subcommand.
pub fn run(mut call: Call) -> Result<(), Failure> {
    match second(&mut call, CHOICES)?.as_str() {
        "submit" => submit(call),
        "status" => status(call),
        "results" => results(call),
        "cancel" => cancel(call),
        other => Err(unknown(other, CHOICES)),
    }
}

fn submit(mut call: Call) -> Result<(), Failure> {
    let deployment: String = call.arguments.value_from_str("--deployment")?;
    let due = call.arguments.opt_value_from_fn("--due", period)?.unwrap_or(DUE);
    let key: Option<String> = call.arguments.opt_value_from_str("--key")?;
    let wait = call.arguments.contains("--wait");
    let path = call.free("the FILE with the items")?;
    call.finish()?;
    let admin = call.admin()?;
    let input = cli::read(&path)?;
    let key = key.unwrap_or_else(|| job_key(&deployment, &input));
    let job = cli::wait(admin.submit(&deployment, &key, due, input)).map_err(|failure| {
        if failure.exit == Exit::Unreachable {
            let advice = format!("Run the same command again: key {key} is one job.");
            Failure { message: format!("{}\n{advice}", failure.message), ..failure }
        } else {
            failure
        }
    })?;
    if !wait {
        return report(&call, &job);
    }
    let job = follow(&admin, &job)?;
    report(&call, &job)?;
    match job.state {
        JobState::Cancelled => Err(Failure::new(Exit::Refused, "the job was cancelled")),
        JobState::Open | JobState::Completed => Ok(()),
    }
}

/// Waits until the job has ended and shows its progress on a terminal.
fn follow(admin: &Admin, job: &Job) -> Result<Job, Failure> {
    let terminal = io::stderr().is_terminal();
    let show = |job: &Job| {
        if terminal {
            let ended = job.succeeded + job.failed;
            let percent = (ended * 100).checked_div(job.items).unwrap_or(100);
            // Progress is a help only; a terminal that went away is no failure.
            let _ = write!(
                io::stderr().lock(),
                "\r\x1b[K{percent:>3}% {ended} of {} items, {} failed",
                job.items,
                job.failed
            );
        }
    };
    let ended = cli::wait(admin.wait(&job.id, PERIOD, TIMEOUT, show));
    if terminal {
        print::error("");
    }
    ended.map_err(|failure| failure.while_doing(format!("waiting for job {}", job.id)))
}

fn status(mut call: Call) -> Result<(), Failure> {
    let id = call.free("the ID of the job")?;
    call.finish()?;
    let job = cli::wait(call.admin()?.job(&id))?;
    report(&call, &job)
}

fn cancel(mut call: Call) -> Result<(), Failure> {
    let id = call.free("the ID of the job")?;
    call.finish()?;
    let job = cli::wait(call.admin()?.cancel(&id))?;
    report(&call, &job)
}

fn results(mut call: Call) -> Result<(), Failure> {
    let output: Option<String> = call.arguments.opt_value_from_str("--output")?;
    let id = call.free("the ID of the job")?;
    call.finish()?;
    let admin = call.admin()?;
    let Some(path) = output else {
        return cli::wait(admin.results(&id, &mut io::stdout().lock())).map(|_| ());
    };
    let failed = |cause: io::Error| Failure::usage(format!("cannot write {path}: {cause}"));
    let partial = cli::partial(&path);
    let mut file = BufWriter::new(File::create(&partial).map_err(failed)?);
    let size = cli::wait(admin.results(&id, &mut file)).inspect_err(|_| {
        // The failure of the call matters more than a partial file that stays.
        let _ = fs::remove_file(&partial);
    })?;
    file.flush().map_err(failed)?;
    fs::rename(&partial, &path).map_err(failed)?;
    print::error(&print::wrap(&format!("{size} bytes written to {path}")));
    Ok(())
}

fn report(call: &Call, job: &Job) -> Result<(), Failure> {
    if call.json {
        return print::json(job);
    }
    let state = match job.state {
        JobState::Open => "open",
        JobState::Completed => "completed",
        JobState::Cancelled => "cancelled",
    };
    print::line(&print::wrap(&format!(
        "job {}\n  deployment {}\n  {state}: {} of {} succeeded, {} failed\n  due {}",
        job.id,
        job.deployment,
        job.succeeded,
        job.items,
        job.failed,
        print::time(job.due_unix_ms)
    )))
}

/// A period such as `90`, `90s`, `30m` or `8h`.
fn period(text: &str) -> Result<Duration, String> {
    let wrong = || format!("{text} is no time; write a number with s, m, h or d such as 8h");
    let (number, unit) = match text.find(|c: char| !c.is_ascii_digit()) {
        Some(at) => text.split_at(at),
        None => (text, "s"),
    };
    let seconds = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3_600,
        "d" => 86_400,
        _ => return Err(wrong()),
    };
    let number: u64 = number.parse().map_err(|_| wrong())?;
    number.checked_mul(seconds).map(Duration::from_secs).ok_or_else(wrong)
}
