//! Parameters of a call that explains a placement.

use forward::answer_value::Tokens;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Uri};

use super::Error;

/// Id of the request if none is given. A release assigns a version by the id.
const DEFAULT_ID: &str = "explain";

/// A request to be explained.
#[derive(Debug)]
pub(super) struct Query {
    /// Head with the host and the path.
    pub head: Parts,
    /// Model that the node is assumed to have chosen.
    pub model: Option<String>,
    /// Number of prompt tokens, and the expected number of output tokens.
    pub tokens: Option<Tokens>,
    /// Hash of the prompt part that is looked for in prefix caches.
    pub part: Option<u64>,
    pub id: String,
}

impl Query {
    /// Decodes a query, percent-encoded `NAME=VALUE` separated by `&`.
    ///
    /// # Errors
    /// A parameter is missing, unknown, repeated or malformed.
    pub(super) fn parse(text: &str) -> Result<Self, Error> {
        let (mut host, mut path) = (None, None);
        let (mut model, mut tokens, mut part, mut id) = (None, None, None, None);
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            let field = match &*name {
                "host" => &mut host,
                "path" => &mut path,
                "model" => &mut model,
                "tokens" => &mut tokens,
                "part" => &mut part,
                "id" => &mut id,
                _ => return Err(Error::UnknownParameter(name.into_owned())),
            };
            if field.replace(value.into_owned()).is_some() {
                return Err(Error::Repeated(name.into_owned()));
            }
        }
        let host = host.ok_or(Error::Missing("host"))?;
        let path = path.ok_or(Error::Missing("path"))?;
        Ok(Self {
            head: head(&host, &path)?,
            model,
            tokens: tokens.map(|it| parse_tokens(&it)).transpose()?,
            part: part.map(|it| parse_part(&it)).transpose()?,
            id: id.unwrap_or_else(|| DEFAULT_ID.to_owned()),
        })
    }
}

fn head(host: &str, path: &str) -> Result<Parts, Error> {
    let uri = path.parse::<Uri>().ok().filter(|_| path.starts_with('/'));
    let uri = uri.ok_or(Error::Malformed("path", "a path that begins with a slash"))?;
    let request = Request::builder().uri(uri).header(HOST, host).body(());
    let is_empty = host.split(':').next().is_none_or(str::is_empty);
    match request {
        Ok(request) if !is_empty => Ok(request.into_parts().0),
        _ => Err(Error::Malformed("host", "a host name")),
    }
}

fn parse_tokens(text: &str) -> Result<Tokens, Error> {
    let tokens = text.split_once(',').and_then(|(prompt, output)| {
        let (prompt, output) = (prompt.trim().parse().ok()?, output.trim().parse().ok()?);
        Some((prompt, output))
    });
    tokens.ok_or(Error::Malformed("tokens", "PROMPT,OUTPUT, two numbers of tokens"))
}

fn parse_part(text: &str) -> Result<u64, Error> {
    // `from_str_radix` accepts a sign.
    let digits = Some(text).filter(|it| it.bytes().all(|it| it.is_ascii_hexdigit()));
    let part = digits.and_then(|it| u64::from_str_radix(it, 16).ok());
    part.ok_or(Error::Malformed(
        "part",
        "the hash of a prompt part, up to 16 hexadecimal digits",
    ))
}
