//! Fake daemon on a TCP port that records requests and replies as the test decides.
#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use serde_json::Value;

/// Request that the daemon received. Header names are in lower case.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Method, path and query.
    pub fn line(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Reply of the daemon to one request.
pub enum Reply {
    /// Sends a response with this status and body.
    Answer(u16, String),
    /// Sends a `content-length` that is longer than the body, then closes the connection.
    Partial(String),
    /// Closes the connection without a response.
    Silence,
}

impl Reply {
    pub fn json(value: &Value) -> Self {
        Self::Answer(200, value.to_string())
    }

    /// Refusal with the guarantee that the call had no effect, to be retried after 1500 ms.
    pub fn refusal(status: u16, kind: &str, message: &str) -> Self {
        let error = serde_json::json!({
            "kind": kind, "message": message, "not_run": true, "retry_after_ms": 1500,
        });
        Self::Answer(status, serde_json::json!({ "error": error }).to_string())
    }
}

/// Daemon that serves one connection after another until the test process ends.
pub struct Daemon {
    pub address: String,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl Daemon {
    pub fn start(reply: impl Fn(&Request) -> Reply + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let request = read(&mut stream);
                recorded.lock().unwrap().push(request.clone());
                write(stream, &reply(&request));
            }
        });
        Self { address, requests }
    }

    pub fn requests(&self) -> Vec<Request> {
        self.requests.lock().unwrap().clone()
    }

    /// Method, path and query of every request so far.
    pub fn lines(&self) -> Vec<String> {
        self.requests().iter().map(Request::line).collect()
    }
}

fn read(stream: &mut TcpStream) -> Request {
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if line.trim().is_empty() {
            break;
        }
        lines.push(line.trim().to_string());
    }
    let mut words = lines[0].split(' ');
    let (method, path) = (words.next().unwrap().into(), words.next().unwrap().into());
    let headers: Vec<(String, String)> = lines[1..]
        .iter()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_string()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.map_or(0, |(_, value)| value.parse().unwrap())];
    reader.read_exact(&mut body).unwrap();
    Request { method, path, headers, body }
}

fn write(mut stream: TcpStream, reply: &Reply) {
    let (status, body, length) = match reply {
        Reply::Answer(status, body) => (*status, body, body.len()),
        Reply::Partial(body) => (200, body, body.len() + 100),
        Reply::Silence => return,
    };
    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
    // The client may have closed the connection; the test checks what the client returns.
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
}
