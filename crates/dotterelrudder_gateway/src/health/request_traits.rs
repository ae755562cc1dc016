//! What a request may share with others that crash runners.

use dotterelrudder_wire::SharedPart;

use crate::Prompt;
use crate::RequestFingerprint;

/// The shared parts of a request's prompt, and the request itself, which may be repeated.
#[derive(Debug, Clone, Copy)]
pub struct RequestTraits<'a> {
    /// The prompt of a request to a model.
    pub prompt: Option<&'a Prompt>,
    /// What tells repetitions of the request.
    pub fingerprint: RequestFingerprint,
}

impl<'a> RequestTraits<'a> {
    /// Returns the shared parts of the prompt and the whole request.
    pub fn parts(self) -> impl Iterator<Item = SharedPart> + 'a {
        // A part without a model would stand for a whole request, perhaps another account's.
        let prompt = self.prompt.filter(|p| !p.model.is_empty());
        let of_prompt = prompt.into_iter().flat_map(|prompt| {
            let parts = prompt.shared_parts().iter();
            parts.map(|part| SharedPart {
                model: prompt.model.clone(),
                id: part.id.clone(),
            })
        });
        of_prompt.chain(std::iter::once(self.fingerprint.part()))
    }
}
