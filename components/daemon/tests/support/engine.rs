//! An upstream that follows a script.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// A request as the upstream got it.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Number of the connection, from 0.
    pub connection: usize,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn resume_from(&self) -> u32 {
        self.json()["resume_from"].as_u64().unwrap_or(0) as u32
    }
}

/// A part of an answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// Tokens `t0 `, `t1 ` and so on with these positions, each in an own write.
    Tokens(std::ops::Range<u32>),
    /// These bytes within the body.
    Bytes(Vec<u8>),
    /// The last chunk, with this position, and the end of the body.
    Finish(u32),
    /// The end of the body without a last chunk.
    End,
    /// Closes the connection.
    Cut,
    /// Nothing more, on an open connection.
    Silence,
    Pause(Duration),
    /// A whole answer with this status.
    Answer(u16, &'static str),
}

pub type Script = Arc<dyn Fn(&Received) -> Vec<Step> + Send + Sync>;

/// A running fake.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Received>>>,
}

impl Engine {
    /// Starts an upstream; completions and service calls follow the script.
    pub async fn start(script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static) -> Self {
        Self::start_with(script, |_| Vec::new()).await
    }

    /// Starts an upstream that also answers polls from a script, where it has an answer.
    pub async fn start_with(
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
        polls: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let engine = Self { address: listener.local_addr().unwrap(), requests: Arc::default() };
        let requests = Arc::clone(&engine.requests);
        let scripts: (Script, Script) = (Arc::new(script), Arc::new(polls));
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((socket, _)) = listener.accept().await {
                socket.set_nodelay(true).unwrap();
                tokio::spawn(serve(socket, connection, Arc::clone(&requests), scripts.clone()));
                connection += 1;
            }
        });
        engine
    }

    /// Requests so far with this method and a path that starts with the given one.
    pub fn requests(&self, method: &str, path: &str) -> Vec<Received> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .filter(|request| request.method == method && request.path.starts_with(path))
            .cloned()
            .collect()
    }

    /// Waits until such a request has arrived.
    pub async fn wait_for(&self, method: &str, path: &str) -> Received {
        for _ in 0..2_000 {
            if let Some(request) = self.requests(method, path).into_iter().next() {
                return request;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("no request {method} {path}");
    }
}

/// An address on which nobody listens.
pub async fn refused() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

async fn serve(
    mut socket: TcpStream,
    connection: usize,
    requests: Arc<Mutex<Vec<Received>>>,
    (script, polls): (Script, Script),
) {
    let mut buffer = Vec::new();
    while let Some(request) = read(&mut socket, &mut buffer, connection).await {
        requests.lock().unwrap().push(request.clone());
        let polled = polls(&request);
        let steps = match (request.method.as_str(), request.path.as_str()) {
            ("GET", _) if !polled.is_empty() => polled,
            ("GET", "/v1/load") => vec![Step::Answer(
                200,
                r#"{"sequence":1,"age_ms":0,"running":0,"queued":0,"slots":8,"models":["m@1"],"leaving":false}"#,
            )],
            ("GET", path) if path.starts_with("/v1/cache-events") => {
                vec![Step::Answer(200, r#"{"events":[]}"#)]
            }
            ("DELETE", _) => vec![Step::Answer(200, "{}")],
            _ => script(&request),
        };
        if !answer(&mut socket, steps).await {
            return;
        }
    }
}

async fn answer(socket: &mut TcpStream, steps: Vec<Step>) -> bool {
    let mut head = false;
    for step in steps {
        let bytes = match step {
            Step::Tokens(range) => {
                for index in range {
                    let event = chunk(&format!(r#"{{"index":{index},"text":"t{index} "}}"#));
                    if !write(socket, &mut head, &event).await {
                        return false;
                    }
                }
                continue;
            }
            Step::Bytes(bytes) => {
                [format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat()
            }
            Step::Finish(index) => {
                let last = format!(r#"{{"index":{index},"text":"","finish_reason":"stop"}}"#);
                [chunk(&last), chunk("[DONE]"), b"0\r\n\r\n".to_vec()].concat()
            }
            Step::End => b"0\r\n\r\n".to_vec(),
            Step::Cut => {
                return false;
            }
            Step::Silence => {
                // Until the other side closes.
                let _ = socket.read(&mut [0; 1]).await;
                return false;
            }
            Step::Pause(duration) => {
                sleep(duration).await;
                continue;
            }
            Step::Answer(status, body) => {
                let answer = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                return socket.write_all(answer.as_bytes()).await.is_ok();
            }
        };
        if !write(socket, &mut head, &bytes).await {
            return false;
        }
    }
    true
}

async fn write(socket: &mut TcpStream, head: &mut bool, bytes: &[u8]) -> bool {
    if !*head {
        *head = true;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        if socket.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
    }
    socket.write_all(bytes).await.is_ok()
}

fn chunk(data: &str) -> Vec<u8> {
    let event = format!("data: {data}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

async fn read(socket: &mut TcpStream, buffer: &mut Vec<u8>, connection: usize) -> Option<Received> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if socket.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer[..end].to_vec()).unwrap();
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name == "content-length")
        .map_or(0, |(_, value)| value.parse().unwrap());
    while buffer.len() < end + length {
        if socket.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(Received { method, path, headers, body, connection })
}
