//! Home servers of shared prompt parts.
//!
//! All boxes compute the same homes without communication, by rendezvous hashing over the server instances.

use crate::member::Member;
use crate::Prompt;
use std::cmp::Reverse;

/// Returns the servers in order of preference for caching the prompt's last shared part; empty without a shared part.
pub(crate) fn homes<'a>(eligible: impl Iterator<Item = &'a Member>, prompt: &Prompt) -> Vec<&'a Member> {
    let Some(last) = prompt.shared().last() else { return Vec::new() };
    let mut ranked: Vec<(u64, &Member)> =
        eligible.map(|member| (routing::rank(last.id, &member.server.id), member)).collect();
    ranked.sort_unstable_by_key(|(key, _)| Reverse(*key));
    ranked.into_iter().map(|(_, member)| member).collect()
}
