//! Commands to nodes.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use attohttpc::RequestBuilder;
use serde_json::{Value, json};

use crate::args::{Drain, Status};
use crate::failure::Failure;
use crate::output::{self, Format};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The command `status`: all nodes that answer are printed, then the first failure is returned.
pub fn status(cmd: &Status, format: Format) -> Result<(), Failure> {
    if cmd.node.is_empty() {
        return Err(Failure::NoNode);
    }
    let mut first_failure = None;
    for node in &cmd.node {
        let request = attohttpc::get(url(*node, "/admin/status"));
        match call(request, *node, cmd.key_file.as_deref()) {
            Ok(status) => output::print(&json!({"node": node, "status": status}), format, lines),
            Err(failure) => {
                output::failure(&failure, format);
                first_failure.get_or_insert(failure);
            }
        }
    }
    first_failure.map_or(Ok(()), Err)
}

/// The command `drain`.
pub fn drain(cmd: &Drain, format: Format) -> Result<(), Failure> {
    let request = attohttpc::post(url(cmd.node, "/admin/drain"));
    let status = call(request, cmd.node, cmd.key_file.as_deref())?;
    output::print(&json!({"node": cmd.node, "status": status}), format, lines);
    Ok(())
}

fn url(node: SocketAddr, path: &str) -> String {
    format!("http://{node}{path}")
}

fn call(request: RequestBuilder, node: SocketAddr, key_file: Option<&Path>) -> Result<Value, Failure> {
    let unreachable = |_| Failure::Node(node.to_string());
    let mut request = request.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
    if let Some(file) = key_file {
        let key = fs::read_to_string(file).map_err(|err| Failure::File(file.to_path_buf(), err))?;
        request = request.bearer_auth(key.trim());
    }
    let response = request.send().map_err(unreachable)?;
    let (status, _, body) = response.split();
    let text = body.text().map_err(unreachable)?;
    if !status.is_success() {
        return Err(Failure::Status(node.to_string(), status.as_u16(), text));
    }
    Ok(serde_json::from_str(&text).unwrap_or(Value::String(text)))
}

fn lines(value: &Value) -> Vec<String> {
    let node = value["node"].as_str().unwrap_or_default();
    match &value["status"] {
        Value::Object(fields) => {
            let fields = fields
                .iter()
                .map(|(key, value)| format!("{node}  {key}: {value}"));
            fields.collect()
        }
        other => vec![format!("{node}  {other}")],
    }
}
