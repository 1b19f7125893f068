//! Runs a balancer process: it is not ready without a bundle, and after SIGTERM
//! it exits by itself once its grace period has passed.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(30);
const TRUSTED_KEY: &str = "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a";

struct Balancer {
    process: Child,
    http: String,
}

impl Balancer {
    /// Starts a balancer whose store is unreachable, and waits until its log
    /// names the address of its HTTP server.
    fn start() -> std::io::Result<Self> {
        let mut process = Command::new(env!("CARGO_BIN_EXE_woodladder"))
            .args(["balancer", "--zone", "north-1", "--log-format", "json"])
            .args([
                "--data-listen",
                "127.0.0.1:0",
                "--control-listen",
                "127.0.0.1:0",
            ])
            .args(["--http-listen", "127.0.0.1:0", "--store", "127.0.0.1:1"])
            .args(["--trusted-key", TRUSTED_KEY, "--stop-grace", "3s"])
            .args(["--cluster-key", "000102030405060708090a0b0c0d0e0f"])
            .args(["--token-key-current", "1:101112131415161718191a1b1c1d1e1f"])
            .stderr(Stdio::piped())
            .spawn()?;
        let log = process.stderr.take().ok_or(std::io::ErrorKind::NotFound)?;
        for line in BufReader::new(log).lines() {
            let record: serde_json::Value = serde_json::from_str(&line?)?;
            if record["msg"] == "balancer: running" {
                let http = record["http"].as_str().unwrap_or_default().to_owned();
                return Ok(Self { process, http });
            }
        }
        Err(std::io::ErrorKind::UnexpectedEof.into())
    }

    fn get(&self, path: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(&self.http)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n"
        )?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    fn terminate(&self) -> std::io::Result<()> {
        let process = self.process.id().to_string();
        let status = Command::new("kill").args(["-TERM", &process]).status()?;
        assert!(status.success());
        Ok(())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn a_balancer_is_not_ready_without_a_bundle_and_stops_as_planned() -> std::io::Result<()> {
    let mut balancer = Balancer::start()?;
    assert!(balancer.get("/health")?.starts_with("HTTP/1.1 200 "));
    let ready = balancer.get("/ready")?;
    assert!(ready.starts_with("HTTP/1.1 503 "), "{ready}");
    assert!(ready.contains("no bundle"), "{ready}");
    assert!(balancer.get("/metrics")?.contains("\nwoodladder_ready 0\n"));
    balancer.terminate()?;
    let start = Instant::now();
    while !balancer.get("/ready")?.contains("planned stop") {
        assert!(start.elapsed() < TIMEOUT);
    }
    assert_eq!(balancer.process.wait()?.code(), Some(0));
    Ok(())
}
