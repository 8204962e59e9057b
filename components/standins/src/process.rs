//! Child processes that end with their owner.

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

/// Longest wait for a child to print its address.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Time between two looks at a child that is expected to end.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A child process. It is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    _input: Option<ChildStdin>,
}

/// Held while a program is started, and while a port is looked for. A child has copies of all sockets
/// of this process until it runs its program: a port that was found free in this time is still taken
/// when its daemon starts.
static STARTING: Mutex<()> = Mutex::new(());

/// Keeps other threads from starting programs until the guard is dropped.
pub(crate) fn hold_starts() -> MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn(command: &mut Command) -> io::Result<Child> {
    let _held = hold_starts();
    command.spawn()
}

impl Process {
    /// Starts a stand-in and waits until it listens. Its log goes to the file `log`.
    pub fn standin<I, S>(binary: &Path, arguments: I, log: &Path) -> io::Result<(Self, SocketAddr)>
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
        let output = output.ok_or_else(|| io::Error::other("the child has no output"))?;
        let (sender, receiver) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let mut line = String::new();
            let read = BufReader::new(output).read_line(&mut line);
            // The owner may have given up in the meantime.
            let _gone = sender.send(read.map(|_| line));
        });
        let line = receiver
            .recv_timeout(START_LIMIT)
            .map_err(|_| io::Error::new(ErrorKind::TimedOut, "the child printed no address"))??;
        let address = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|address| address.parse().ok())
            .ok_or_else(|| {
                io::Error::other(format!("{binary:?} printed {line:?}, see {}", log.display()))
            })?;
        Ok((process, address))
    }

    /// Starts a program whose output and log go to the file `log`.
    pub fn program<I, S>(binary: &Path, arguments: I, log: &Path) -> io::Result<Self>
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

    /// Identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Stops the process until `resume`.
    pub fn pause(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Lets a stopped process go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Asks the process to end.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Asks the process to read its settings again.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal("HUP")
    }

    /// Whether the process has ended.
    pub fn status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits until the process has ended by itself.
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
            thread::sleep(EXIT_POLL);
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
