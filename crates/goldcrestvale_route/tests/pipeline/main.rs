//! Placement of layers, chains over them, and what becomes of streams after a loss.

mod cards;
mod chain_choice;
mod chain_cover;
mod layer_mend;
mod stream_rescue;
