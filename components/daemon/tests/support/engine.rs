//! Fake upstream, a model engine or a plain service, that responds as a script says.

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

/// Request that the upstream received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Number of the connection on which the request arrived, from 0.
    pub connection: usize,
}

impl Request {
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

/// Part of a response.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends the tokens `t0 `, `t1 ` and so on with these indexes, each in a separate write.
    Tokens(std::ops::Range<u32>),
    /// Sends these bytes as one chunk of the body.
    Bytes(Vec<u8>),
    /// Sends the final event with this index, and ends the body.
    Finish(u32),
    /// Ends the body without a final event.
    End,
    /// Closes the connection.
    Disconnect,
    /// Keeps the connection open and sends nothing more.
    Silence,
    Pause(Duration),
    /// Sends a complete response with this status and body.
    Response(u16, &'static str),
}

pub type Script = Arc<dyn Fn(&Request) -> Vec<Step> + Send + Sync>;

/// Fake upstream that is running.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl Engine {
    /// Starts an upstream that responds to completions and service calls from a script.
    pub async fn start(script: impl Fn(&Request) -> Vec<Step> + Send + Sync + 'static) -> Self {
        Self::start_with(script, |_| Vec::new()).await
    }

    /// Starts an upstream that also responds to `GET` requests from the script `polls`, unless the
    /// script returns no steps.
    pub async fn start_with(
        script: impl Fn(&Request) -> Vec<Step> + Send + Sync + 'static,
        polls: impl Fn(&Request) -> Vec<Step> + Send + Sync + 'static,
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

    /// Returns the requests so far with this method and a path that starts with `path`.
    pub fn requests(&self, method: &str, path: &str) -> Vec<Request> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .filter(|request| request.method == method && request.path.starts_with(path))
            .cloned()
            .collect()
    }

    /// Waits for the first request with this method and a path that starts with `path`.
    pub async fn wait_for(&self, method: &str, path: &str) -> Request {
        for _ in 0..2_000 {
            if let Some(request) = self.requests(method, path).into_iter().next() {
                return request;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("no request {method} {path}");
    }
}

/// Returns an address that refuses connections, because no socket listens on it.
pub async fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

async fn serve(
    mut socket: TcpStream,
    connection: usize,
    requests: Arc<Mutex<Vec<Request>>>,
    (script, polls): (Script, Script),
) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut socket, &mut buffer, connection).await {
        requests.lock().unwrap().push(request.clone());
        let polled = polls(&request);
        let steps = match (request.method.as_str(), request.path.as_str()) {
            ("GET", _) if !polled.is_empty() => polled,
            ("GET", "/v1/load") => vec![Step::Response(
                200,
                r#"{"sequence":1,"age_ms":0,"running":0,"queued":0,"slots":8,"models":["m@1"],"leaving":false}"#,
            )],
            ("GET", path) if path.starts_with("/v1/cache-events") => {
                vec![Step::Response(200, r#"{"events":[]}"#)]
            }
            ("DELETE", _) => vec![Step::Response(200, "{}")],
            _ => script(&request),
        };
        if !respond(&mut socket, steps).await {
            return;
        }
    }
}

/// Executes the steps of a response; returns whether the connection can be used again.
async fn respond(socket: &mut TcpStream, steps: Vec<Step>) -> bool {
    let mut head_sent = false;
    for step in steps {
        let bytes = match step {
            Step::Tokens(range) => {
                for index in range {
                    let event = event_chunk(&format!(r#"{{"index":{index},"text":"t{index} "}}"#));
                    if !write_body(socket, &mut head_sent, &event).await {
                        return false;
                    }
                }
                continue;
            }
            Step::Bytes(bytes) => {
                [format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat()
            }
            Step::Finish(index) => {
                let final_event =
                    format!(r#"{{"index":{index},"text":"","finish_reason":"stop"}}"#);
                [event_chunk(&final_event), event_chunk("[DONE]"), b"0\r\n\r\n".to_vec()].concat()
            }
            Step::End => b"0\r\n\r\n".to_vec(),
            Step::Disconnect => {
                return false;
            }
            Step::Silence => {
                // Waits until the daemon closes the connection.
                let _ = socket.read(&mut [0; 1]).await;
                return false;
            }
            Step::Pause(duration) => {
                sleep(duration).await;
                continue;
            }
            Step::Response(status, body) => {
                let response = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                return socket.write_all(response.as_bytes()).await.is_ok();
            }
        };
        if !write_body(socket, &mut head_sent, &bytes).await {
            return false;
        }
    }
    true
}

/// Writes part of a body, after the head if it has not been sent yet; returns whether that
/// succeeded.
async fn write_body(socket: &mut TcpStream, head_sent: &mut bool, bytes: &[u8]) -> bool {
    if !*head_sent {
        *head_sent = true;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        if socket.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
    }
    socket.write_all(bytes).await.is_ok()
}

/// Encodes a server-sent event as one chunk of a body.
fn event_chunk(data: &str) -> Vec<u8> {
    let event = format!("data: {data}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

async fn read_request(
    socket: &mut TcpStream,
    buffer: &mut Vec<u8>,
    connection: usize,
) -> Option<Request> {
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
    let mut request_line = lines.next()?.split(' ');
    let (method, path) = (request_line.next()?.to_owned(), request_line.next()?.to_owned());
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
    Some(Request { method, path, headers, body, connection })
}
