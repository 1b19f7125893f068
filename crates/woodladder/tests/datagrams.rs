//! Parses datagrams from case files with the parsers of PROXY headers, QUIC
//! headers and envelopes. Each case states the parser, the bytes and the
//! expected result.

use std::path::Path;

use serde::Deserialize;
use woodladder::balancer::parse_proxy_header;
use woodladder_core::packets::envelope::Envelope;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::quic_header::parse_header;
use woodladder_core::packets::token::TOKEN_LENGTH;

/// Key that authenticates the envelopes in the cases.
const ENVELOPE_KEY: [u8; 16] = [7; 16];

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    layer: Layer,
    /// Bytes in hexadecimal; white space is ignored.
    hex: String,
    /// Length in bytes to which the datagram is padded with zeros.
    #[serde(default)]
    filled_to: usize,
    expect: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Layer {
    Proxy,
    Packet,
    Envelope,
}

impl Case {
    fn bytes(&self) -> Result<Vec<u8>, hex::FromHexError> {
        let digits: String = self.hex.split_whitespace().collect();
        let mut bytes = hex::decode(digits)?;
        bytes.resize(bytes.len().max(self.filled_to), 0);
        Ok(bytes)
    }

    fn result(&self, bytes: &[u8]) -> Result<String, String> {
        match self.layer {
            Layer::Proxy => read_proxy(bytes),
            Layer::Packet => read_packet(bytes),
            Layer::Envelope => read_envelope(bytes),
        }
    }
}

fn read_proxy(bytes: &[u8]) -> Result<String, String> {
    let inbound = parse_proxy_header(bytes).map_err(|error| error.to_string())?;
    Ok(format!(
        "{} to {}, {} bytes",
        inbound.caller,
        inbound.service_address,
        inbound.datagram.len()
    ))
}

fn read_packet(bytes: &[u8]) -> Result<String, String> {
    let packet = parse_header(bytes, TOKEN_LENGTH).map_err(|error| error.to_string())?;
    let kind = if packet.may_open_flow {
        "may open a flow"
    } else {
        "opens no flow"
    };
    Ok(format!(
        "{} {kind}",
        hex::encode(packet.destination_connection_id)
    ))
}

fn read_envelope(bytes: &[u8]) -> Result<String, String> {
    let key = TagKey::new(ENVELOPE_KEY);
    let (envelope, datagram) = Envelope::decode(&key, bytes).map_err(|error| error.to_string())?;
    Ok(format!(
        "service {}, sequence {}, {:?}, {} bytes",
        envelope.service,
        envelope.sequence,
        envelope.route,
        datagram.len()
    ))
}

fn case(path: &Path) -> datatest_stable::Result<(Case, Vec<u8>)> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let bytes = case.bytes()?;
    Ok((case, bytes))
}

fn accepted(path: &Path) -> datatest_stable::Result<()> {
    let (case, bytes) = case(path)?;
    assert_eq!(case.result(&bytes), Ok(case.expect));
    Ok(())
}

fn refused(path: &Path) -> datatest_stable::Result<()> {
    let (case, bytes) = case(path)?;
    assert_eq!(case.result(&bytes), Err(case.expect));
    Ok(())
}

datatest_stable::harness! {
    { test = accepted, root = "tests/cases/datagrams/good", pattern = r"\.toml$" },
    { test = refused, root = "tests/cases/datagrams/bad", pattern = r"\.toml$" },
}
