//! Command line of the program `standin`: one subcommand for each stand-in and each tool.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use pico_args::Arguments;
use tokio::{net::TcpListener, runtime::Builder};

use crate::{
    capacity, demo,
    engine::{self, Engine},
    faults::Switches,
    load,
    platform::{self, Platform},
    server::{self, Handler},
    service::Service,
};

const HELP: &str = "\
Stand-ins for the platform and the upstreams, a demo, a load generator and a
capacity measurement.

standin platform [--listen A] [--lag-ms N] [--writes-per-s N] [--reads-per-s N]
standin engine   [--listen A] [--models M@V,...] [--slots N] [--step-ms X]
                 [--stream-ms X] [--prefill-us-per-byte X] [--cached-share X]
                 [--cache-entries N] [--cache-lag-ms N] [--cache-gap N]
                 [--capacity N] [--load-ms N] [--report-ms N] [--queue N]
                 [--fencing checked|ignored]
standin service  [--listen A] [--work-ms N]
standin demo
standin load     [--site small|tessiture|himal] [--seeds N,...]
                 [--policies adaptive,naive] [--arms NAME,...] [--seconds N]
                 [--warm-up-s N] [--slow-factor X] [--limit-s N]
standin capacity [--daemons N,...] [--engines N] [--rounds N] [--warm-up-s N]
                 [--seconds N]

Each stand-in prints one line `listening ADDRESS` once it accepts connections. With
--exit-with-stdin it exits when its standard input is closed.
";

type Error = Box<dyn std::error::Error>;

/// Parses the arguments of the process and runs the subcommand.
pub fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut arguments: Arguments) -> Result<ExitCode, Error> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    match arguments.subcommand()?.as_deref() {
        Some("platform") => platform(arguments),
        Some("engine") => engine(arguments),
        Some("service") => service(arguments),
        Some("demo") => demo(arguments),
        Some("load") => load(arguments),
        Some("capacity") => capacity(arguments),
        Some(other) => Err(format!("unknown subcommand {other:?}; see --help").into()),
        None => Err("missing subcommand; see --help".into()),
    }
}

fn platform(mut arguments: Arguments) -> Result<ExitCode, Error> {
    let options = platform::Options {
        lag: parse_milliseconds(&mut arguments, "--lag-ms", 0)?,
        writes_per_s: arguments.opt_value_from_str("--writes-per-s")?.unwrap_or(500.0),
        reads_per_s: arguments.opt_value_from_str("--reads-per-s")?.unwrap_or(2_000.0),
    };
    serve(arguments, |switches| Arc::new(Platform::new(switches, options)), |_| {})
}

fn engine(mut arguments: Arguments) -> Result<ExitCode, Error> {
    let default = engine::Options::default();
    let models: String = arguments.opt_value_from_str("--models")?.unwrap_or_default();
    let fencing: Option<String> = arguments.opt_value_from_str("--fencing")?;
    let options = engine::Options {
        slots: arguments.opt_value_from_str("--slots")?.unwrap_or(default.slots),
        queue: arguments.opt_value_from_str("--queue")?.unwrap_or(default.queue),
        step_ms: arguments.opt_value_from_str("--step-ms")?.unwrap_or(default.step_ms),
        stream_ms: arguments.opt_value_from_str("--stream-ms")?.unwrap_or(default.stream_ms),
        prefill_us_per_byte: arguments
            .opt_value_from_str("--prefill-us-per-byte")?
            .unwrap_or(default.prefill_us_per_byte),
        cached_share: arguments
            .opt_value_from_str("--cached-share")?
            .unwrap_or(default.cached_share),
        cache_entries: arguments
            .opt_value_from_str("--cache-entries")?
            .unwrap_or(default.cache_entries),
        cache_lag: parse_milliseconds(&mut arguments, "--cache-lag-ms", 200)?,
        cache_gap: arguments.opt_value_from_str("--cache-gap")?.unwrap_or(default.cache_gap),
        models: models.split(',').filter(|name| !name.is_empty()).map(Into::into).collect(),
        capacity: arguments.opt_value_from_str("--capacity")?.unwrap_or(default.capacity),
        load_time: parse_milliseconds(&mut arguments, "--load-ms", 500)?,
        report_period: parse_milliseconds(&mut arguments, "--report-ms", 250)?,
        fencing_checked: match fencing.as_deref() {
            None | Some("ignored") => false,
            Some("checked") => true,
            Some(other) => {
                return Err(format!("--fencing must be checked or ignored, not {other:?}").into());
            }
        },
    };
    if options.slots == 0 || options.step_ms <= 0.0 || options.report_period.is_zero() {
        return Err("--slots, --step-ms and --report-ms must be greater than 0".into());
    }
    serve(
        arguments,
        |switches| Arc::new(Engine::new(switches, options)),
        |engine| drop(tokio::spawn(engine.run())),
    )
}

fn service(mut arguments: Arguments) -> Result<ExitCode, Error> {
    let work = parse_milliseconds(&mut arguments, "--work-ms", 20)?;
    serve(arguments, |switches| Arc::new(Service::new(switches, work)), |_| {})
}

fn demo(arguments: Arguments) -> Result<ExitCode, Error> {
    reject_unknown(arguments)?;
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    match runtime.block_on(demo::run())? {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

fn capacity(mut arguments: Arguments) -> Result<ExitCode, Error> {
    let daemons: Option<String> = arguments.opt_value_from_str("--daemons")?;
    let options = capacity::Options {
        daemons: parse_list(daemons.as_deref().unwrap_or("2,12,24,48"), |size| Ok(size.parse()?))?,
        engines: arguments.opt_value_from_str("--engines")?.unwrap_or(10),
        rounds: arguments.opt_value_from_str("--rounds")?.unwrap_or(3),
        warm_up: Duration::from_secs(arguments.opt_value_from_str("--warm-up-s")?.unwrap_or(10)),
        duration: Duration::from_secs(arguments.opt_value_from_str("--seconds")?.unwrap_or(20)),
    };
    reject_unknown(arguments)?;
    Builder::new_multi_thread().enable_all().build()?.block_on(capacity::run(options))?;
    Ok(ExitCode::SUCCESS)
}

fn load(mut arguments: Arguments) -> Result<ExitCode, Error> {
    let site: String = arguments.opt_value_from_str("--site")?.unwrap_or_else(|| "small".into());
    let seeds: Option<String> = arguments.opt_value_from_str("--seeds")?;
    let policies: Option<String> = arguments.opt_value_from_str("--policies")?;
    let arms: Option<String> = arguments.opt_value_from_str("--arms")?;
    let measured = arguments.opt_value_from_str("--seconds")?.unwrap_or(8);
    let warm_up = arguments.opt_value_from_str("--warm-up-s")?.unwrap_or(3);
    let limit = arguments.opt_value_from_str("--limit-s")?.unwrap_or(540);
    let slow_factor = arguments.opt_value_from_str("--slow-factor")?.unwrap_or(10.0);
    reject_unknown(arguments)?;
    let options = load::Options {
        site: load::Site::by_name(&site).ok_or_else(|| format!("unknown site {site:?}"))?,
        policies: parse_list(policies.as_deref().unwrap_or("adaptive,naive"), |name| match name {
            "adaptive" => Ok(false),
            "naive" => Ok(true),
            _ => Err(format!("unknown policy {name:?}").into()),
        })?,
        arms: match arms {
            None => load::ARMS.to_vec(),
            Some(names) => parse_list(&names, |name| {
                let arm = load::ARMS.into_iter().find(|arm| arm.name == name);
                arm.ok_or_else(|| format!("unknown arm {name:?}").into())
            })?,
        },
        seeds: parse_list(seeds.as_deref().unwrap_or("1,2,3"), |seed| Ok(seed.parse()?))?,
        parameters: load::Parameters {
            warm_up: Duration::from_secs(warm_up),
            measured: Duration::from_secs(measured),
            slow_factor,
        },
        limit: Duration::from_secs(limit),
    };
    let runtime = Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let report = runtime.block_on(load::run(options))?;
    print!("{report}");
    match report.is_correct() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

/// Parses the elements of a comma-separated list.
fn parse_list<T>(values: &str, parse: impl Fn(&str) -> Result<T, Error>) -> Result<Vec<T>, Error> {
    values.split(',').map(parse).collect()
}

fn parse_milliseconds(
    arguments: &mut Arguments,
    name: &'static str,
    default: u64,
) -> Result<Duration, Error> {
    let value = arguments.opt_value_from_str(name)?.unwrap_or(default);
    Ok(Duration::from_millis(value))
}

/// Serves requests until the process ends, on a single-threaded runtime so that a large fleet of
/// stand-ins needs few threads. `start` spawns the background tasks of the handler.
fn serve<H: Handler>(
    mut arguments: Arguments,
    handler: impl FnOnce(Arc<Switches>) -> Arc<H>,
    start: impl FnOnce(Arc<H>),
) -> Result<ExitCode, Error> {
    let listen: SocketAddr = match arguments.opt_value_from_str("--listen")? {
        Some(listen) => listen,
        None => SocketAddr::from(([127, 0, 0, 1], 0)),
    };
    let exit_with_stdin = arguments.contains("--exit-with-stdin");
    reject_unknown(arguments)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(listen).await?;
        let mut output = std::io::stdout();
        writeln!(output, "listening {}", listener.local_addr()?)?;
        output.flush()?;
        if exit_with_stdin {
            std::thread::spawn(exit_on_stdin_eof);
        }
        let switches = Arc::new(Switches::default());
        let handler = handler(Arc::clone(&switches));
        start(Arc::clone(&handler));
        server::serve(listener, switches, handler).await;
        Ok(ExitCode::SUCCESS)
    })
}

/// Fails if there is an argument that the subcommand does not know.
fn reject_unknown(arguments: Arguments) -> Result<(), Error> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(argument) => Err(format!("unknown argument {argument:?}; see --help").into()),
    }
}

/// Ends the process when standard input reaches its end.
fn exit_on_stdin_eof() {
    let mut buffer = [0; 64];
    while matches!(std::io::stdin().read(&mut buffer), Ok(count) if count > 0) {}
    std::process::exit(0);
}
