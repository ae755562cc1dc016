//! The JSON format of the OpenAI-style endpoints: parses requests, writes responses and stream
//! events.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::Usage;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;

/// The number of tokens to generate when the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 64;
/// The largest `max_tokens` that a request may ask for.
const MAX_TOKENS_LIMIT: u32 = 32_768;

/// The completion endpoint that was called.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Endpoint {
    /// `/v1/completions`, which takes a prompt.
    Completions,
    /// `/v1/chat/completions`, which takes messages.
    Chat,
}

/// A request to either endpoint, with chat messages already rendered to a prompt.
#[derive(Debug)]
pub(super) struct CompletionRequest {
    pub(super) model: CompactString,
    pub(super) prompt: Bytes,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

/// The JSON body of a request to either endpoint.
#[derive(Deserialize)]
struct RequestBody {
    model: CompactString,
    prompt: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// Parses the JSON body of a request.
pub(super) fn parse_request(endpoint: Endpoint, body: &[u8]) -> Result<CompletionRequest, Refusal> {
    let bad_request = |detail: String| Refusal::new(ErrorKind::BadRequest, detail);
    let body: RequestBody =
        serde_json::from_slice(body).map_err(|e| bad_request(format!("body: {e}")))?;
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        let allowed = format!("from 1 to {MAX_TOKENS_LIMIT}");
        return Err(bad_request(format!(
            "max_tokens can't be {max_tokens}; allowed: {allowed}"
        )));
    }
    let prompt = match (endpoint, body.prompt, body.messages) {
        (Endpoint::Completions, Some(prompt), None) => prompt,
        (Endpoint::Chat, None, Some(messages)) => render_chat(&messages),
        (Endpoint::Completions, ..) => {
            return Err(bad_request(
                "a completion needs \"prompt\" and no \"messages\"".into(),
            ))
        }
        (Endpoint::Chat, ..) => {
            return Err(bad_request(
                "a chat completion needs \"messages\" and no \"prompt\"".into(),
            ))
        }
    };
    if prompt.is_empty() {
        return Err(bad_request("the prompt must not be empty".into()));
    }
    let prompt = Bytes::from(prompt);
    Ok(CompletionRequest {
        model: body.model,
        prompt,
        max_tokens,
        stream: body.stream,
    })
}

/// Renders a conversation as a prompt. The prompt of a later turn starts with the messages of the
/// earlier turns unchanged, so that their KV cache blocks can be reused.
fn render_chat(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let ChatMessage { role, content } = message;
        prompt.push_str(&format!("<|{role}|>{content}\n"));
    }
    prompt.push_str("<|assistant|>");
    prompt
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    })
}

/// Writes the body of a response that is not streamed.
pub(super) fn complete_response(
    endpoint: Endpoint,
    id: &str,
    model: &str,
    text: &str,
    usage: Usage,
) -> String {
    let (object, choice) = match endpoint {
        Endpoint::Completions => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": "length"}),
        ),
        Endpoint::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
        ),
    };
    json!({
        "id": id,
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": usage_json(usage),
    })
    .to_string()
}

/// Writes one event of a streamed response, with the text of a chunk.
pub(super) fn stream_chunk(endpoint: Endpoint, id: &str, model: &str, text: &str) -> Bytes {
    let (object, choice) = match endpoint {
        Endpoint::Completions => ("text_completion", json!({"index": 0, "text": text})),
        Endpoint::Chat => (
            "chat.completion.chunk",
            json!({"index": 0, "delta": {"content": text}}),
        ),
    };
    let event = json!({"id": id, "object": object, "model": model, "choices": [choice]});
    format!("data: {event}\n\n").into()
}

/// Writes the end of a streamed response: the usage, then `[DONE]`.
pub(super) fn stream_end(id: &str, model: &str, usage: Usage) -> Bytes {
    let event = json!({"id": id, "model": model, "choices": [], "usage": usage_json(usage)});
    format!("data: {event}\n\ndata: [DONE]\n\n").into()
}

/// Writes the end of a streamed response that stays incomplete: the error, without `[DONE]`.
pub(super) fn stream_error(refusal: &Refusal) -> Bytes {
    format!("data: {}\n\n", crate::http_server::refusal_json(refusal)).into()
}
