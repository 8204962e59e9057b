//! `batch submit|status|results|cancel`: submits, inspects and cancels batch jobs.

use std::{
    fs::{self, File},
    io::{self, BufWriter, IsTerminal, Write},
    time::Duration,
};

use cyclamengrade_operator::{Admin, Job, JobState, plan::job_key};

use crate::{
    cli::{self, Exit, Failure, Invocation},
    cmd::{nested_subcommand, unknown_subcommand},
    print,
};

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

const SUBCOMMANDS: &str = "submit, status, results, cancel";

/// Time until a job is due without `--due`.
const DEFAULT_DUE: Duration = Duration::from_secs(24 * 3_600);

/// Interval between two requests for the state of a job while waiting for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time for which the daemon may be unreachable while waiting for a job. It exceeds the
/// duration of a daemon restart.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(120);

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    match nested_subcommand(&mut invocation, SUBCOMMANDS)?.as_str() {
        "submit" => submit(invocation),
        "status" => status(invocation),
        "results" => results(invocation),
        "cancel" => cancel(invocation),
        other => Err(unknown_subcommand(other, SUBCOMMANDS)),
    }
}

fn submit(mut invocation: Invocation) -> Result<(), Failure> {
    let deployment: String = invocation.arguments.value_from_str("--deployment")?;
    let due =
        invocation.arguments.opt_value_from_fn("--due", parse_duration)?.unwrap_or(DEFAULT_DUE);
    let key: Option<String> = invocation.arguments.opt_value_from_str("--key")?;
    let wait = invocation.arguments.contains("--wait");
    let path = invocation.positional("the FILE with the items")?;
    invocation.finish()?;
    let admin = invocation.admin()?;
    let input = cli::read_file(&path)?;
    let key = key.unwrap_or_else(|| job_key(&deployment, &input));
    let job = cli::block_on(admin.submit(&deployment, &key, due, input)).map_err(|failure| {
        if failure.exit == Exit::Unreachable {
            let advice = format!("Run the same command again: key {key} identifies one job.");
            Failure { message: format!("{}\n{advice}", failure.message), ..failure }
        } else {
            failure
        }
    })?;
    if !wait {
        return print_job(&invocation, &job);
    }
    let job = wait_for_end(&admin, &job)?;
    print_job(&invocation, &job)?;
    match job.state {
        JobState::Cancelled => Err(Failure::new(Exit::Refused, "the job was cancelled")),
        JobState::Open | JobState::Completed => Ok(()),
    }
}

/// Polls the job until it has ended; shows its progress if standard error is a terminal.
fn wait_for_end(admin: &Admin, job: &Job) -> Result<Job, Failure> {
    let terminal = io::stderr().is_terminal();
    let show_progress = |job: &Job| {
        if terminal {
            let ended = job.succeeded + job.failed;
            let percent = (ended * 100).checked_div(job.items).unwrap_or(100);
            // Errors are ignored: a closed terminal must not end the wait.
            let _ = write!(
                io::stderr().lock(),
                "\r\x1b[K{percent:>3}% {ended} of {} items, {} failed",
                job.items,
                job.failed
            );
        }
    };
    let ended =
        cli::block_on(admin.wait(&job.id, POLL_INTERVAL, UNREACHABLE_TIMEOUT, show_progress));
    if terminal {
        print::error("");
    }
    ended.map_err(|failure| failure.with_context(format!("waiting for job {}", job.id)))
}

fn status(mut invocation: Invocation) -> Result<(), Failure> {
    let id = invocation.positional("the ID of the job")?;
    invocation.finish()?;
    let job = cli::block_on(invocation.admin()?.job(&id))?;
    print_job(&invocation, &job)
}

fn cancel(mut invocation: Invocation) -> Result<(), Failure> {
    let id = invocation.positional("the ID of the job")?;
    invocation.finish()?;
    let job = cli::block_on(invocation.admin()?.cancel(&id))?;
    print_job(&invocation, &job)
}

fn results(mut invocation: Invocation) -> Result<(), Failure> {
    let output: Option<String> = invocation.arguments.opt_value_from_str("--output")?;
    let id = invocation.positional("the ID of the job")?;
    invocation.finish()?;
    let admin = invocation.admin()?;
    let Some(path) = output else {
        return cli::block_on(admin.results(&id, &mut io::stdout().lock())).map(|_| ());
    };
    let failed = |cause: io::Error| Failure::usage(format!("cannot write {path}: {cause}"));
    let partial = cli::partial_path(&path);
    let mut file = BufWriter::new(File::create(&partial).map_err(failed)?);
    let size = cli::block_on(admin.results(&id, &mut file)).inspect_err(|_| {
        // The failed request is reported even if the partial file cannot be removed.
        let _ = fs::remove_file(&partial);
    })?;
    file.flush().map_err(failed)?;
    fs::rename(&partial, &path).map_err(failed)?;
    print::error(&print::wrap(&format!("{size} bytes written to {path}")));
    Ok(())
}

fn print_job(invocation: &Invocation, job: &Job) -> Result<(), Failure> {
    if invocation.json {
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
        print::timestamp(job.due_unix_ms)
    )))
}

/// Parses a duration such as `90s`, `30m`, `8h` or `2d`; a number without a unit is in seconds.
fn parse_duration(text: &str) -> Result<Duration, String> {
    let error =
        || format!("{text} is not a duration; write a number with s, m, h or d, such as 8h");
    let (number, unit) = match text.find(|c: char| !c.is_ascii_digit()) {
        Some(at) => text.split_at(at),
        None => (text, "s"),
    };
    let seconds = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3_600,
        "d" => 86_400,
        _ => return Err(error()),
    };
    let number: u64 = number.parse().map_err(|_| error())?;
    number.checked_mul(seconds).map(Duration::from_secs).ok_or_else(error)
}
