//! Relays connections of one route.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::plan::FaultPlan;
use super::rule::Direction;
use super::switch::RuleSwitch;

/// Largest piece read at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Pieces under way in one direction; beyond it the sender is held back.
const PIECES_UNDER_WAY: usize = 64;

pub(super) struct TcpRelay {
    pub(super) listener: TcpListener,
    pub(super) upstream: SocketAddr,
    pub(super) switch: RuleSwitch,
    pub(super) seed: u64,
    pub(super) stream: u64,
}

impl TcpRelay {
    /// Relays until dropped.
    pub(super) async fn run(self) {
        let mut connections = JoinSet::new();
        let mut stream = self.stream;
        loop {
            self.switch.wait_while_frozen().await;
            while connections.try_join_next().is_some() {}
            let Ok((client, _)) = self.listener.accept().await else {
                continue;
            };
            if self.switch.get().refuse {
                continue;
            }
            stream += 2;
            let connection = Connection {
                client,
                upstream: self.upstream,
                switch: self.switch.clone(),
                plans: [
                    FaultPlan::new(self.seed, stream),
                    FaultPlan::new(self.seed, stream + 1),
                ],
            };
            connections.spawn(connection.run());
        }
    }
}

struct Connection {
    client: TcpStream,
    upstream: SocketAddr,
    switch: RuleSwitch,
    plans: [FaultPlan; 2],
}

impl Connection {
    async fn run(self) {
        let switch = self.switch.clone();
        let relay = self.relay();
        tokio::pin!(relay);
        tokio::select! {
            // Dropping the streams closes them.
            () = switch.wait_refuse() => {}
            // The streams stay open until the connection is refused or the proxy stops.
            () = switch.wait_silenced() => switch.wait_refuse().await,
            _ = &mut relay => {}
        }
    }

    async fn relay(self) -> io::Result<()> {
        self.switch.wait_while_held(Direction::ToUpstream).await;
        let upstream = TcpStream::connect(self.upstream).await?;
        upstream.set_nodelay(true)?;
        self.client.set_nodelay(true)?;
        let (client_read, client_write) = self.client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let [plan_up, plan_down] = self.plans;
        let up = Half {
            direction: Direction::ToUpstream,
            switch: self.switch.clone(),
            plan: plan_up,
        };
        let down = Half {
            direction: Direction::ToClient,
            switch: self.switch,
            plan: plan_down,
        };
        tokio::try_join!(
            up.run(client_read, upstream_write),
            down.run(upstream_read, client_write),
        )?;
        Ok(())
    }
}

struct Piece {
    due: Instant,
    bytes: Vec<u8>,
}

struct Half {
    direction: Direction,
    switch: RuleSwitch,
    plan: FaultPlan,
}

impl Half {
    async fn run(self, source: OwnedReadHalf, sink: OwnedWriteHalf) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(PIECES_UNDER_WAY);
        let switch = self.switch.clone();
        let direction = self.direction;
        let reading = self.read(source, sender);
        let writing = write(receiver, sink, switch, direction);
        tokio::try_join!(reading, writing)?;
        Ok(())
    }

    async fn read(
        mut self,
        mut source: OwnedReadHalf,
        pieces: mpsc::Sender<Piece>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; PIECE_BYTES];
        loop {
            self.switch.wait_while_held(self.direction).await;
            let length = source.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            let piece = Piece {
                due: Instant::now() + self.plan.piece(&self.switch.get()),
                bytes: buffer[..length].to_vec(),
            };
            if pieces.send(piece).await.is_err() {
                return Ok(());
            }
        }
    }
}

async fn write(
    mut pieces: mpsc::Receiver<Piece>,
    mut sink: OwnedWriteHalf,
    switch: RuleSwitch,
    direction: Direction,
) -> io::Result<()> {
    while let Some(piece) = pieces.recv().await {
        sleep_until(piece.due).await;
        switch.wait_while_held(direction).await;
        sink.write_all(&piece.bytes).await?;
    }
    switch.wait_while_held(direction).await;
    sink.shutdown().await
}
