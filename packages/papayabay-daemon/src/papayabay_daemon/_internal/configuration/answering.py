"""Answers requests of peers for configuration versions."""

from papayabay_core.configuration import encode_configuration, encode_patches
from papayabay_daemon._internal.configuration.messages import (
    FULL_TOPIC,
    OFFER_TOPIC,
    TAIL,
    TAIL_TOPIC,
    decode_offer,
    decode_version,
    encode_chunk,
)


class Answering:
    """Answers offers, and requests for patches and full versions.

    Parameters
    ----------
    state : ConfigurationState
    links : Links
    note_offer : callable
        Called with a version above the own one and the peer that has it.
    """

    def __init__(self, state, links, note_offer):
        self.state = state
        self.note_offer = note_offer
        self.encoded = None
        links.handle_requests(OFFER_TOPIC, self.answer_offer)
        links.handle_requests(TAIL_TOPIC, self.answer_tail)
        links.handle_requests(FULL_TOPIC, self.answer_full)

    async def answer_offer(self, payload, peer):
        """Process a peer's offer and answer with the own offer."""
        offer, _ = decode_offer(payload)
        if offer.version > self.state.version.latest.version:
            self.note_offer(offer.version, peer)
        else:
            self.state.receive_confirmation(offer)
        return self.state.own_offer().encode()

    async def answer_tail(self, payload, peer):
        """Answer with the patches after a version.

        When some of them are gone from the history, the answer is the first
        chunk of the full version.
        """
        after = decode_version(payload)
        head = self.state.own_offer().encode()
        if after >= self.state.version.latest.version:
            return head
        patches = self.state.version.history.after(after)
        if patches is None:
            return head + encode_chunk(self.encoded_version(), 0)
        return head + TAIL + encode_patches(patches)

    async def answer_full(self, payload, peer):
        """Answer with one chunk of the full latest version."""
        offset = decode_version(payload)
        head = self.state.own_offer().encode()
        if not self.state.version.latest.version:
            return head
        return head + encode_chunk(self.encoded_version(), offset)

    def encoded_version(self):
        """Return the full latest version as bytes, encoded once."""
        latest = self.state.version.latest
        if self.encoded is None or self.encoded[0] != latest.version:
            self.encoded = (latest.version, encode_configuration(latest))
        return self.encoded[1]
