//! Feed queries to other instances, with late responses.

use std::time::{Duration, Instant};

use apricotwell_dispatch::feeds::{Feed, FeedUpdate};
use apricotwell_gateway::feed_queries::FeedQueries;
use apricotwell_messages::{Datagram, FeedResponse};
use apricotwell_types::InstanceId;
use prost::Message;
use tokio::net::UdpSocket;

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix::System::new().block_on(test);
}

async fn next_query_number(peer: &UdpSocket) -> u64 {
    let mut buffer = [0; 2048];
    let (length, _) = peer.recv_from(&mut buffer).await.unwrap();
    let datagram = Datagram::decode(&buffer[..length]).unwrap();
    datagram.query.unwrap().number
}

fn response(number: u64) -> FeedResponse {
    FeedResponse {
        number,
        complete: true,
        next: 7,
        age_ms: 100,
        servers: Vec::new(),
        more: false,
    }
}

async fn query(queries: &FeedQueries, socket: &UdpSocket, peer: &UdpSocket) -> Option<FeedUpdate> {
    let peer: InstanceId = peer.local_addr().unwrap().to_string().as_str().into();
    let feed_position = (Feed::Configuration, 7);
    queries
        .query(socket, &peer, feed_position, Instant::now)
        .await
}

#[test]
fn ignores_late_response_to_query_of_earlier_process() {
    run(async {
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let earlier = FeedQueries::new(1_700_000_000_000);
        let (changes, late_number) =
            tokio::join!(query(&earlier, &socket, &peer), next_query_number(&peer));
        assert!(changes.is_none());
        let _ = next_query_number(&peer).await;
        // The process restarts and sends a query before the late response arrives.
        let queries = FeedQueries::new(1_700_000_000_200);
        let late = async {
            next_query_number(&peer).await;
            queries.deliver(response(late_number));
        };
        let (changes, ()) = tokio::join!(query(&queries, &socket, &peer), late);
        assert!(changes.is_none(), "{changes:?}");
    });
}

#[test]
fn response_age_counts_from_query_time() {
    run(async {
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let queries = FeedQueries::new(1);
        let reply = async {
            let number = next_query_number(&peer).await;
            let received = Instant::now();
            tokio::time::sleep(Duration::from_millis(20)).await;
            queries.deliver(response(number));
            received
        };
        let (changes, received) = tokio::join!(query(&queries, &socket, &peer), reply);
        let confirmed_at = changes.unwrap().confirmed_at.unwrap();
        assert!(confirmed_at + Duration::from_millis(100) <= received);
    });
}
