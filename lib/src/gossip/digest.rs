//! Digests: a compact summary of what a replica has received.
//!
//! With 400 daemons a digest lists some 450 lanes, and one is sent in each
//! exchange, even if nothing changed. With whole incarnations, digests were a
//! third of all bytes sent. A digest therefore identifies an origin by a tag of
//! three bytes: part of its hash, with a salt that differs in each digest.
//!
//! Two origins may have the same tag. The answerer then sends a lane that
//! starts above what the asker holds, which the asker ignores as a gap, or rows
//! that the asker holds already. Because of the salt, a different pair collides
//! in the next exchange; with a fixed hash, one colliding pair would keep a row
//! from a daemon for as long as both daemons run.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gossip::lane::Lane;
use crate::gossip::limits::MAX_ORIGINS;
use crate::gossip::origin::Origin;
use crate::gossip::{GossipError, Peer, Scope};
use crate::ids::Incarnation;
use crate::protos::peer;

/// Bytes of a tag.
const TAG_BYTES: usize = 3;

/// Part of an origin's hash.
type Tag = [u8; TAG_BYTES];

/// Tag of an origin under a salt.
pub(crate) fn tag(id: Incarnation, salt: u64) -> Tag {
    let hash = xxh3_64_with_seed(&id.to_le_bytes(), salt).to_le_bytes();
    [hash[0], hash[1], hash[2]]
}

/// Prefix of a lane whose origin is identified by its tag.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    pub(crate) scope: Scope,
    pub(crate) tag: Tag,
    pub(crate) prefix: u64,
}

/// Adds an entry to a digest.
pub(crate) fn add_entry(digest: &mut peer::Digest, entry: Entry) {
    let column = match entry.scope {
        Scope::Zone => &mut digest.zone,
        Scope::Region => &mut digest.region,
        Scope::Everywhere => &mut digest.everywhere,
    };
    let column = column.get_or_insert_default();
    column.tags.extend(entry.tag);
    column.sequences.push(entry.prefix);
}

/// A digest that was received and parsed.
pub(crate) struct AskerDigest {
    pub(crate) from: Peer,
    pub(crate) salt: u64,
    /// Whether the asker wants only the lanes that the digest lists.
    pub(crate) listed_only: bool,
    /// Sorted; among entries with the same tag, the lowest prefix comes first.
    pub(crate) entries: Vec<Entry>,
}

impl AskerDigest {
    /// Parses a digest.
    pub(crate) fn parse(digest: &peer::Digest) -> Result<Self, GossipError> {
        let from = digest.from.as_ref().ok_or(GossipError::BadField("from"))?;
        let mut entries = Vec::new();
        for scope in Scope::ALL {
            if let Some(column) = column(digest, scope) {
                parse_column(scope, column, &mut entries)?;
            }
        }
        entries.sort_unstable();
        Ok(Self {
            from: Peer::try_from(from)?,
            salt: digest.salt,
            listed_only: digest.only,
            entries,
        })
    }

    /// Prefix that the asker holds of a lane; `None` if it does not want the
    /// lane.
    pub(crate) fn prefix_of(&self, origin: &Origin, lane: &Lane) -> Option<u64> {
        let id = origin.peer.incarnation;
        match lowest(&self.entries, lane.scope, tag(id, self.salt)) {
            Some(prefix) => Some(prefix),
            None if self.listed_only || id == self.from.incarnation => None,
            None => Some(0),
        }
    }
}

/// Lowest prefix among the entries with a tag.
pub(crate) fn lowest(entries: &[Entry], scope: Scope, tag: Tag) -> Option<u64> {
    let at = entries.partition_point(|e| (e.scope, e.tag) < (scope, tag));
    let entry = entries.get(at)?;
    (entry.scope == scope && entry.tag == tag).then_some(entry.prefix)
}

fn column(digest: &peer::Digest, scope: Scope) -> Option<&peer::Prefixes> {
    match scope {
        Scope::Zone => digest.zone.as_ref(),
        Scope::Region => digest.region.as_ref(),
        Scope::Everywhere => digest.everywhere.as_ref(),
    }
}

fn parse_column(
    scope: Scope,
    column: &peer::Prefixes,
    entries: &mut Vec<Entry>,
) -> Result<(), GossipError> {
    let (tags, rest) = column.tags.as_chunks::<TAG_BYTES>();
    if tags.len() != column.sequences.len() || !rest.is_empty() {
        return Err(GossipError::BadField("tags"));
    }
    if tags.len() > MAX_ORIGINS {
        return Err(GossipError::ManyOrigins);
    }
    let pairs = tags.iter().zip(&column.sequences);
    entries.extend(pairs.map(|(&tag, &prefix)| Entry { scope, tag, prefix }));
    Ok(())
}
