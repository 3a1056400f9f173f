"""Answers to peers about the held version."""

from papayabay_core.configuration import encode_configuration, encode_patches
from papayabay_daemon._internal.configuration.messages import (
    FULL_TOPIC,
    OFFER_TOPIC,
    TAIL,
    TAIL_TOPIC,
    decode_version,
    encode_chunk,
    take_offer,
)


class Answering:
    """Answers offers and questions for tails and whole versions.

    Parameters
    ----------
    state : ConfigurationState
    links : Links
    note_offer : callable
        Takes a version above the held one and who holds it.
    """

    def __init__(self, state, links, note_offer):
        self.state = state
        self.note_offer = note_offer
        self.encoded = None
        links.handle_requests(OFFER_TOPIC, self.answer_offer)
        links.handle_requests(TAIL_TOPIC, self.answer_tail)
        links.handle_requests(FULL_TOPIC, self.answer_full)

    async def answer_offer(self, payload, peer):
        """Note a peer's offer and answer with the own."""
        offer, _ = take_offer(payload)
        if offer.version > self.state.version.latest.version:
            self.note_offer(offer.version, peer)
        else:
            self.state.receive_confirmation(offer)
        return self.state.own_offer().encode()

    async def answer_tail(self, payload, peer):
        """Answer with the patches after a version, or with everything."""
        after = decode_version(payload)
        head = self.state.own_offer().encode()
        if after >= self.state.version.latest.version:
            return head
        patches = self.state.version.history.after(after)
        if patches is None:
            return head + encode_chunk(self.encoded_whole(), 0)
        return head + TAIL + encode_patches(patches)

    async def answer_full(self, payload, peer):
        """Answer with a part of the whole held version."""
        offset = decode_version(payload)
        head = self.state.own_offer().encode()
        if not self.state.version.latest.version:
            return head
        return head + encode_chunk(self.encoded_whole(), offset)

    def encoded_whole(self):
        """Return the held version as bytes, made once per version."""
        held = self.state.version.latest
        if self.encoded is None or self.encoded[0] != held.version:
            self.encoded = (held.version, encode_configuration(held))
        return self.encoded[1]
