//! Which servers are to keep a shared part of prompts.
//!
//! Every box names the same ones, without a word between them, by rendezvous hashing over the servers' lives.

use crate::member::Member;
use crate::pace::Pace;
use crate::Prompt;
use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Stands for a part in the ranking of servers for the deep side.
const DEEP_SIDE_PART: u64 = 0;

/// The servers in the order in which every box would have them keep a prompt's last shared part; none without one.
///
/// The longest parts are kept by `deep_side` first.
pub(crate) fn homes<'a>(among: &[&'a Member], prompt: &Prompt, pace: Pace, deep_side: &[&str]) -> Vec<&'a Member> {
    let Some(last) = prompt.shared().last() else { return Vec::new() };
    let apart = if pace.keeps_apart(prompt.shared_tokens()) { deep_side } else { &[] };
    let key = |member: &Member| (apart.contains(&member.server.id.as_str()), rank(last.id, &member.server.id));
    let mut ranked: Vec<((bool, u64), &Member)> = among.iter().map(|member| (key(member), *member)).collect();
    ranked.sort_unstable_by_key(|(key, _)| Reverse(*key));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Ids of the servers that keep the longest shared parts, and that quick answers rather avoid.
pub(crate) fn deep_side<'a>(among: &[&'a Member], pace: Pace) -> Vec<&'a str> {
    let most = pace.deep_side(among.len());
    if most == 0 {
        return Vec::new();
    }
    let mut ids: Vec<&str> = among.iter().map(|member| member.server.id.as_str()).collect();
    ids.sort_unstable_by_key(|id| rank(DEEP_SIDE_PART, id));
    ids.truncate(most);
    ids
}

/// Equal on every box: the highest ranked server keeps the part.
fn rank(part: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}
