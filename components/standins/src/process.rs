//! Child processes that are killed when their handle is dropped.

use std::{
    ffi::OsStr,
    fs::File,
    io::{self, BufRead, BufReader, ErrorKind},
    net::SocketAddr,
    path::Path,
    process::{Child, ChildStdin, Command, ExitStatus, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Time limit for a child to print its address.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of whether a child has ended.
const EXIT_POLL_PERIOD: Duration = Duration::from_millis(10);

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    _input: Option<ChildStdin>,
}

/// Keeps starts of programs and searches for a free port from overlapping.
///
/// A forked child has copies of all sockets of this process until it executes its program. If a
/// search opened and closed a socket in this time, the child would hold the port, and the daemon
/// for which it was found could not bind it.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Prevents other threads from starting programs until the guard is dropped.
pub(crate) fn lock_spawns() -> MutexGuard<'static, ()> {
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_spawns();
    command.spawn()
}

impl Process {
    /// Starts a stand-in and waits until it prints the address at which it listens. Its log goes to
    /// the file `log`. The stand-in also exits when this process ends, because its standard input
    /// closes.
    pub fn start_standin<I, S>(
        binary: &Path,
        arguments: I,
        log: &Path,
    ) -> io::Result<(Self, SocketAddr)>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let mut command = Command::new(binary);
        command
            .args(arguments)
            .arg("--exit-with-stdin")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(File::create(log)?);
        let mut child = spawn(&mut command)?;
        let output = child.stdout.take();
        let process = Self { _input: child.stdin.take(), child };
        let output = output.ok_or_else(|| io::Error::other("the child has no standard output"))?;
        let (sender, receiver) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let mut line = String::new();
            let read = BufReader::new(output).read_line(&mut line);
            // Sending fails if the owner has stopped waiting.
            let _sent = sender.send(read.map(|_| line));
        });
        let line = receiver.recv_timeout(START_TIMEOUT).map_err(|_| {
            io::Error::new(
                ErrorKind::TimedOut,
                format!("the child printed no address within {START_TIMEOUT:?}"),
            )
        })??;
        let address = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|address| address.parse().ok())
            .ok_or_else(|| {
                io::Error::other(format!("{binary:?} printed {line:?}, see {}", log.display()))
            })?;
        Ok((process, address))
    }

    /// Starts a program whose standard output and log go to the file `log`.
    pub fn start_program<I, S>(binary: &Path, arguments: I, log: &Path) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let output = File::create(log)?;
        let mut command = Command::new(binary);
        command.args(arguments).stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output);
        let child = spawn(&mut command)?;
        Ok(Self { child, _input: None })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Sends SIGKILL without waiting for the end of the process.
    pub fn send_kill(&mut self) -> io::Result<()> {
        self.child.kill()
    }

    /// Sends SIGSTOP, which suspends the process until [`Self::resume`].
    pub fn pause(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Sends SIGCONT, which continues a suspended process.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Sends SIGTERM, which asks the process to shut down gracefully.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Sends SIGHUP, which asks the process to reload its settings.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal("HUP")
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits until the process ends by itself, for at most `limit`.
    pub fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if start.elapsed() > limit {
                let message = format!("process {} did not end within {limit:?}", self.id());
                return Err(io::Error::new(ErrorKind::TimedOut, message));
            }
            thread::sleep(EXIT_POLL_PERIOD);
        }
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        let arguments = [format!("-{name}"), self.id().to_string()];
        let status = Command::new("kill").args(arguments).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("kill -{name} {}: {status}", self.id()))),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ended = self.kill();
    }
}
