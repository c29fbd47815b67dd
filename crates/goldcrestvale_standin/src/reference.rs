//! The arithmetic of the modelled engines and the reference answer computed without a router.
//!
//! A layer keeps one 64-bit state per attempt. Its state after a position depends on its previous
//! state and its input, so a layer that is skipped, run twice or run out of order changes every
//! following token.

/// The characters that tokens of answers stand for.
const LETTERS: &[u8; 27] = b"abcdefghijklmnopqrstuvwxyz ";

/// Mixes two words into one, which depends on every bit of both.
fn mix(left: u64, right: u64) -> u64 {
    let mut word = left.rotate_left(23) ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Returns the activation that layer 0 gets for a token.
pub fn embed(token: u32) -> u64 {
    mix(0x243f_6a88_85a3_08d3, u64::from(token))
}

/// Returns the state of a layer after another position, which is also its output activation.
pub fn advance(state: u64, activation: u64, layer: u32) -> u64 {
    mix(mix(state, activation), u64::from(layer))
}

/// Returns the token for an activation of the last layer.
pub fn token(activation: u64) -> u32 {
    let letter = activation % LETTERS.len() as u64;
    u32::from(LETTERS[usize::try_from(letter).unwrap_or(0)])
}

/// Returns the first `count` tokens that a model with `layers` layers generates for a prompt.
///
/// # Examples
///
/// ```
/// use goldcrestvale_standin::reference;
///
/// let prompt: Vec<u32> = "a notice".bytes().map(u32::from).collect();
/// let answer = reference::answer(&prompt, 12, 5);
/// assert_eq!(answer.len(), 5);
/// assert_ne!(answer, reference::answer(&prompt, 11, 5));
/// ```
pub fn answer(prompt: &[u32], layers: u32, count: usize) -> Vec<u32> {
    let mut states = vec![0; layers as usize];
    let mut run = |input: u32| {
        let mut activation = embed(input);
        for (state, layer) in states.iter_mut().zip(0..) {
            *state = advance(*state, activation, layer);
            activation = *state;
        }
        token(activation)
    };
    let mut next = None;
    for &input in prompt {
        next = Some(run(input));
    }
    let mut answer = Vec::with_capacity(count);
    while let Some(token) = next.filter(|_| answer.len() < count) {
        answer.push(token);
        next = Some(run(token));
    }
    answer
}

/// Converts the tokens of an answer to text.
pub fn text(tokens: &[u32]) -> String {
    tokens.iter().filter_map(|&token| char::from_u32(token)).collect()
}
