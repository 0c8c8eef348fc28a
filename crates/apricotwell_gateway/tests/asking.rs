//! Questions to other instances, whose answers may come late.

use std::time::{Duration, Instant};

use apricotwell_dispatch::feeds::{Feed, FeedUpdate};
use apricotwell_gateway::asking::Questions;
use apricotwell_messages::{Datagram, FeedAnswer};
use apricotwell_types::InstanceId;
use prost::Message;
use tokio::net::UdpSocket;

fn play<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix::System::new().block_on(test);
}

async fn next_number(peer: &UdpSocket) -> u64 {
    let mut buffer = [0; 2048];
    let (length, _) = peer.recv_from(&mut buffer).await.unwrap();
    let datagram = Datagram::decode(&buffer[..length]).unwrap();
    datagram.query.unwrap().number
}

fn answer(number: u64) -> FeedAnswer {
    FeedAnswer {
        number,
        covers: true,
        next: 7,
        age: 100,
        servers: Vec::new(),
        more: false,
    }
}

async fn ask(questions: &Questions, socket: &UdpSocket, peer: &UdpSocket) -> Option<FeedUpdate> {
    let peer: InstanceId = peer.local_addr().unwrap().to_string().as_str().into();
    let question = (Feed::Configuration, 7);
    questions.ask(socket, &peer, question, Instant::now).await
}

#[test]
fn an_answer_to_a_former_process_is_not_taken_for_one_s_own() {
    play(async {
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let former = Questions::new(1_700_000_000_000);
        let (told, old) = tokio::join!(ask(&former, &socket, &peer), next_number(&peer));
        assert!(told.is_none());
        let _ = next_number(&peer).await;
        // The process starts anew, and asks before the late answer comes.
        let questions = Questions::new(1_700_000_000_200);
        let late = async {
            next_number(&peer).await;
            questions.note_answer(answer(old));
        };
        let (told, ()) = tokio::join!(ask(&questions, &socket, &peer), late);
        assert!(told.is_none(), "{told:?}");
    });
}

#[test]
fn an_answer_counts_from_the_time_of_its_question() {
    play(async {
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let questions = Questions::new(1);
        let reply = async {
            let number = next_number(&peer).await;
            let received = Instant::now();
            tokio::time::sleep(Duration::from_millis(20)).await;
            questions.note_answer(answer(number));
            received
        };
        let (told, received) = tokio::join!(ask(&questions, &socket, &peer), reply);
        let current = told.unwrap().confirmed_at.unwrap();
        assert!(current + Duration::from_millis(100) <= received);
    });
}
