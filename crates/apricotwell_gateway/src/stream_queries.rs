//! Questions to all other instances at which version streams began.

use std::net::SocketAddr;
use std::time::Duration;

use apricotwell_messages::{Datagram, StreamAnswer, StreamQuery};
use apricotwell_types::InstanceId;
use prost::Message;
use tokio::net::UdpSocket;

use crate::adapter::Platform;
use crate::gateway::Gateway;
use crate::software::stream_lifetime;

/// Largest number of other instances that are asked. More would need more than an instance may send
/// where many clients resume streams.
pub(crate) const MAX_ASKED: usize = 16;
/// Time limit for the answer to one question.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Questions to one instance; one datagram may be lost.
const MAX_QUESTIONS: u32 = 2;

/// Returns what this instance and all others remember of a stream, `None` for each that did not answer.
pub async fn ask<P>(gateway: &Gateway<P>, query: &StreamQuery) -> Vec<Option<StreamAnswer>>
where
    P: Platform,
{
    let others = gateway.dispatcher.borrow().peers.heartbeat_targets();
    let own = own_answer(gateway, query);
    if others.len() > MAX_ASKED {
        return vec![own, None];
    }
    let questions = others.iter().map(|it| ask_one(gateway, it, query));
    let mut answers = futures_util::future::join_all(questions).await;
    answers.push(own);
    answers
}

async fn ask_one<P>(
    gateway: &Gateway<P>,
    instance: &InstanceId,
    query: &StreamQuery,
) -> Option<StreamAnswer>
where
    P: Platform,
{
    let socket = gateway.peer_socket.get()?;
    for _ in 0..MAX_QUESTIONS {
        let (question, answer) = gateway.stream_queries.register();
        let datagram = Datagram {
            stream_query: Some(StreamQuery {
                number: question.number,
                ..query.clone()
            }),
            ..Datagram::default()
        };
        let sent = socket.send_to(&datagram.encode_to_vec(), &**instance).await;
        if let Err(error) = sent {
            log::debug!("failed to ask {instance} for a stream: {error}");
            return None;
        }
        if let Ok(Ok(answer)) = tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            return Some(answer);
        }
    }
    None
}

fn own_answer<P>(gateway: &Gateway<P>, query: &StreamQuery) -> Option<StreamAnswer>
where
    P: Platform,
{
    let lifetime = stream_lifetime(gateway);
    let dispatcher = gateway.dispatcher.borrow();
    dispatcher.streams.answer(gateway.now(), lifetime, query)
}

/// Answers the question of another instance.
pub async fn answer<P>(
    gateway: &Gateway<P>,
    socket: &UdpSocket,
    sender: SocketAddr,
    query: &StreamQuery,
) where
    P: Platform,
{
    let datagram = Datagram {
        stream_answer: own_answer(gateway, query),
        ..Datagram::default()
    };
    if let Err(error) = socket.send_to(&datagram.encode_to_vec(), sender).await {
        log::debug!("failed to answer {sender}: {error}");
    }
}
