//! Child processes that end with their owner.

use std::{
    ffi::OsStr,
    fs::File,
    io::{self, BufRead, BufReader, ErrorKind},
    net::SocketAddr,
    path::Path,
    process::{Child, ChildStdin, Command, ExitStatus, Stdio},
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

impl Process {
    /// Starts a stand-in and waits until it listens. Its log goes to the file `log`.
    pub fn standin<I, S>(binary: &Path, arguments: I, log: &Path) -> io::Result<(Self, SocketAddr)>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let mut child = Command::new(binary)
            .args(arguments)
            .arg("--exit-with-stdin")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(File::create(log)?)
            .spawn()?;
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
        let child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
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
