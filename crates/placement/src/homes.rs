//! Which servers are to keep a shared part of prompts.
//!
//! Every box names the same ones, without a word between them, by rendezvous hashing over the servers' lives.

use crate::member::Member;
use crate::Prompt;
use std::cmp::Reverse;

/// The servers in the order in which every box would have them keep a prompt's last shared part; none without one.
pub(crate) fn homes<'a>(eligible: impl Iterator<Item = &'a Member>, prompt: &Prompt) -> Vec<&'a Member> {
    let Some(last) = prompt.shared().last() else { return Vec::new() };
    let mut ranked: Vec<(u64, &Member)> =
        eligible.map(|member| (routing::rank(last.id, &member.server.id), member)).collect();
    ranked.sort_unstable_by_key(|(key, _)| Reverse(*key));
    ranked.into_iter().map(|(_, member)| member).collect()
}
