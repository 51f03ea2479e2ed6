package org.siskinlead.protocol.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.siskinlead.core.configuration.Bounds;
import org.siskinlead.core.configuration.Parameter;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.configuration.Template;
import org.siskinlead.core.idempotency.ClaimVerdict;
import org.siskinlead.core.idempotency.KeyRecord;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.timeline.HybridTime;
import org.siskinlead.protocol.json.ProtocolException;

class PeerCodecTest {
    @ParameterizedTest
    @MethodSource("messages")
    void decodesWhatWasEncoded(PeerMessage message) {
        PeerFrame frame = new PeerFrame("a key of daemons", new HybridTime(1_700_000_000_000L, 3), message);

        assertThat(PeerCodec.decode(PeerCodec.encode(frame))).isEqualTo(frame);
    }

    // Guards against a key that can be read only by decoding the whole message, which costs many times its bytes.
    @ParameterizedTest
    @MethodSource("messages")
    void readsTheKeyWithoutTheMessage(PeerMessage message) {
        byte[] encoded = PeerCodec.encode(new PeerFrame("a key of daemons", new HybridTime(1, 0), message));

        assertThat(PeerCodec.readKey(Arrays.copyOf(encoded, 30))).isEqualTo("a key of daemons");
    }

    @Test
    void readsNoKeyFromBytesThatDoNotBeginAsAFrameDoes() {
        Random random = new Random(2);
        for (int i = 0; i < 10_000; i++) {
            byte[] randomBytes = new byte[random.nextInt(200)];
            random.nextBytes(randomBytes);

            assertThrows(ProtocolException.class, () -> PeerCodec.readKey(randomBytes));
        }
    }

    @Test
    void throwsProtocolExceptionOnRandomBytes() {
        Random random = new Random(1);
        for (int i = 0; i < 10_000; i++) {
            byte[] randomBytes = new byte[random.nextInt(200)];
            random.nextBytes(randomBytes);

            assertThrows(ProtocolException.class, () -> PeerCodec.decode(randomBytes));
        }
    }

    @Test
    void rejectsEveryTruncatedFrame() {
        PeerMessage message = messages().get(0);
        byte[] encoded = PeerCodec.encode(new PeerFrame("key", new HybridTime(1, 0), message));
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncated = Arrays.copyOf(encoded, length);

            assertThrows(ProtocolException.class, () -> PeerCodec.decode(truncated));
        }
    }

    static List<PeerMessage> messages() {
        Member member =
                Member.joining("vm-1", 7, "east", "127.0.0.1:1", "127.0.0.1:2").asEligibleOwner();
        Head head =
                Head.EMPTY.withMember(member).withDocument("3", "config/3/x").withWriteId("m");
        Template template = new Template(
                "t",
                List.of("a"),
                "0".repeat(64),
                Map.of("m", "v"),
                List.of("s"),
                List.of("s/list"),
                Map.of(
                        Parameter.MAX_CONCURRENT,
                        new Bounds(0, 9),
                        Parameter.REQUESTS_PER_SECOND,
                        new Bounds(0, 9),
                        Parameter.PRIORITY,
                        new Bounds(0, 9)));
        KeyRecord record = KeyRecord.claimed("c", "vm-1/7", "f", 1_700_000_000_000L);
        PeerMessage.Allotment allotment = new PeerMessage.Allotment(1, "t", 1, 2, 3, 4, 5);
        return List.of(
                new PeerMessage.Heartbeat("vm-1/7", "127.0.0.1:2", 5, 6, List.of("vm-2/9")),
                new PeerMessage.Vouch("vm-1/7", 5, 6),
                new PeerMessage.RelayedVouch(5, 6, 1_500, true),
                new PeerMessage.HeadUpdate(head),
                new PeerMessage.HeadRequest("127.0.0.1:2"),
                new PeerMessage.DocumentRequest("127.0.0.1:2", "config/3/x"),
                new PeerMessage.DocumentReply("config/3/x", Map.of("t", TeamDocument.of(template))),
                new PeerMessage.Holdings("vm-1/7", 4, Map.of("t", 2)),
                new PeerMessage.HoldingsRequest("vm-1/7", 4),
                new PeerMessage.LimitDemand("vm-1/7", "127.0.0.1:2", 4, "t", 1, 2, 3, 4, 5, 6),
                allotment,
                new PeerMessage.AllotmentRelay("vm-1/7", 9, allotment, Map.of("vm-1/7", 3)),
                new PeerMessage.LedgerCopies(
                        "vm-1/7", 4, List.of(new PeerMessage.LedgerCopy("t", Map.of("vm-1/7", 3)))),
                new PeerMessage.ClaimRequest("127.0.0.1:2", "c", "vm-1/7", "t/k", "f"),
                new PeerMessage.ClaimReply("c", ClaimVerdict.SEND, record),
                new PeerMessage.ClaimReply("c", ClaimVerdict.UNAVAILABLE, null),
                new PeerMessage.ClaimQuery("t/k", record),
                new PeerMessage.ClaimResult("127.0.0.1:2", "t/k", record.withResult(KeyRecord.State.DONE, 200, "ok")),
                new PeerMessage.ClaimResultStored("t/k", "c"),
                new PeerMessage.CrashSuspect("vm-1/7", "f", "engine/1"),
                new PeerMessage.CrashSuspectStored("vm-1/7", "f", "engine/1", List.of("engine/2")),
                new PeerMessage.CrashTrace("vm-1/7", "r", "f", List.of("engine/1", "engine/2")),
                new PeerMessage.CrashTracesEnded("vm-1/7", List.of("r")),
                new PeerMessage.CrashExposure("f", "engine/1"),
                new PeerMessage.CrashTrial("f", "engine", 500),
                new PeerMessage.CrashCleared("f"));
    }
}
