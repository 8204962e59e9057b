//! Property tests of the datagrams between relays.

use std::{net::SocketAddr, time::Duration};

use cyclamengrade_control::relay::origin::Stream;
use cyclamengrade_peer::slots::{Content, Message, Socket};
use proptest::{prelude::*, test_runner::RngSeed};
use tokio::{runtime::Builder, time::timeout};

/// Time in which a datagram arrives on the loopback interface.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Incarnation of the sender of the messages that are in order, which no random message has.
const INCARNATION: u64 = 20_261;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261),
        ..ProptestConfig::default()
    }
}

/// Returns bytes that begin like the fields of a message.
fn datagram() -> impl Strategy<Value = Vec<u8>> {
    let field = (1..30_u8, 0..6_u8, proptest::collection::vec(any::<u8>(), 0..40));
    let fields = proptest::collection::vec(field, 0..8).prop_map(|fields| {
        let mut bytes = Vec::new();
        for (number, kind, content) in fields {
            bytes.push(number << 3 | kind);
            if kind == 2 {
                bytes.push(content.len() as u8);
            }
            bytes.extend(content);
        }
        bytes
    });
    prop_oneof![proptest::collection::vec(any::<u8>(), 0..2_000), fields]
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a relay that no longer hears the others after datagrams that are no messages.
    #[test]
    fn random_bytes(datagrams in proptest::collection::vec(datagram(), 1..20)) {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let received = runtime.block_on(async {
            let receiver = Socket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let address = receiver.address()?;
            let raw = std::net::UdpSocket::bind("127.0.0.1:0")?;
            for datagram in &datagrams {
                raw.send_to(datagram, address)?;
            }
            let sender = Socket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let content = Content::Lookup(Stream(7));
            sender.send(address, Message { incarnation: INCARNATION, content });
            let mut buffer = Vec::new();
            let received = timeout(ARRIVAL_TIMEOUT, async {
                loop {
                    let (_, message) = receiver.receive(&mut buffer).await;
                    if message.incarnation == INCARNATION {
                        return message;
                    }
                }
            });
            Ok::<_, std::io::Error>(received.await.ok())
        })?;
        prop_assert_eq!(received.map(|message| message.content), Some(Content::Lookup(Stream(7))));
    }
}
