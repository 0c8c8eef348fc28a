//! Plain TCP relay, the baseline for measurements of the entry daemon.

use std::process::ExitCode;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Plain TCP relay: forwards each connection, byte for byte.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen on, as ip:port
    #[argh(option)]
    listen: String,
    /// address to connect to, as ip:port
    #[argh(option)]
    target: String,
}

#[actix_web::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let listener = match TcpListener::bind(&args.listen).await {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("tcp-relay: {}: {error}; choose a free address", args.listen);
            return ExitCode::FAILURE;
        }
    };
    loop {
        let Ok((mut inbound, _)) = listener.accept().await else {
            continue;
        };
        let target = args.target.clone();
        spawn_local(async move {
            if let Ok(mut outbound) = TcpStream::connect(target).await {
                let _ = inbound.set_nodelay(true);
                let _ = outbound.set_nodelay(true);
                // An error only means that one end closed the connection, which may happen at any
                // time.
                let _ = copy_bidirectional(&mut inbound, &mut outbound).await;
            }
        });
    }
}
