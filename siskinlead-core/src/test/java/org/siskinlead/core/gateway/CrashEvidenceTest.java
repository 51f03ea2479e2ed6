package org.siskinlead.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.FakeTargetLink;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.forwarding.IncomingRequest;
import org.siskinlead.core.forwarding.LinkFailure;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.roster.RosterEntry;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests that what daemons know of a request that crashes its targets outlives them all. */
class CrashEvidenceTest {
    private static final int DAEMONS = 4;
    /** Time in which the leases of daemons that were killed end. */
    private static final long DOWN_MS = 4_000;

    private final ManualTimers timers = new ManualTimers();
    private final FakeLeaseStore store = new FakeLeaseStore(timers);
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<FakeTargetLink> links = new ArrayList<>();
    private final List<FakeLeaseStore.Client> clients = new ArrayList<>();

    @BeforeEach
    void startAll() {
        timers.advance(10_000);
        for (int i = 0; i < DAEMONS; i++) {
            start("vm" + i);
        }
        timers.advance(1_000);
    }

    private void start(String vm) {
        FakeTargetLink link = new FakeTargetLink(timers);
        FakeLeaseStore.Client client = store.client();
        clients.add(client);
        Gateway gateway = Gateway.start(
                new RosterEntry(vm, vm + ":1", "east"),
                new Gateway.Ports(
                        timers, client, link, (target, before, layers, answer) -> {}, () -> {}, new Random(1)),
                new Gateway.Settings(4_000, new RetryBudgetShare.Budget(0.2, 40, 10_000)),
                Timeline.of(vm, HybridClock.of(timers::wallMillis), event -> {}));
        for (int i = 0; i < 3; i++) {
            gateway.registry().register(ForwardingTestBed.plain("p" + i));
        }
        store.attach(gateway);
        gateway.onCatalog(ForwardingTestBed.catalog(1, Set.of(ForwardingTestBed.KEY)));
        gateway.onProof(Freshness.ClockReading.now(timers));
        gateway.onListening();
        gateways.add(gateway);
        links.add(link);
    }

    // Guards against evidence that ends with the daemons, so that a request crashes two more targets after each
    // restart.
    @Test
    void blocksARequestThatCrashedItsTargetsBeforeAllDaemonsWereKilled() {
        send(0);
        crashTargets(0);
        timers.advance(100);
        killAll();
        for (int i = 0; i < DAEMONS; i++) {
            start("vm" + i);
        }

        for (int i = 0; i < DAEMONS; i++) {
            RecordedReply reply = send(i);
            assertThat(reply.refusal.code()).isEqualTo(RefusalCode.TARGET_CRASHES);
            assertThat(links.get(i).received).isEmpty();
        }
    }

    // Guards against evidence of one crash that each daemon counts anew, so that a request is blocked after one.
    @Test
    void doesNotCountACrashAgainAfterARestart() {
        send(0);
        links.get(0).healthByTarget.put(links.get(0).last().dispatch.target().id(), TargetLink.Health.CRASHED);
        links.get(0).last().fail(LinkFailure.BROKEN);
        timers.advance(100);
        killAll();
        start("vm0");
        killAll();
        start("vm0");

        assertThat(send(0).isOpen()).isTrue();
    }

    private void crashTargets(int daemon) {
        FakeTargetLink link = links.get(daemon);
        for (int i = 0; i < link.received.size(); i++) {
            link.healthByTarget.put(link.received.get(i).dispatch.target().id(), TargetLink.Health.CRASHED);
            link.received.get(i).fail(LinkFailure.BROKEN);
            timers.advance(50);
        }
        assertThat(link.received).hasSize(2);
    }

    /** Ends all daemons, which know only what the store holds when they start again. */
    private void killAll() {
        store.detachAll();
        gateways.clear();
        links.clear();
        clients.forEach(client -> client.disconnected = true);
        timers.advance(DOWN_MS);
    }

    private RecordedReply send(int daemon) {
        RecordedReply reply = new RecordedReply();
        IncomingRequest request = ForwardingTestBed.request(
                "r", "/safe/deadly", ForwardingTestBed.KEY, 20_000, new byte[] {1}, List.of());
        gateways.get(daemon).onProof(Freshness.ClockReading.now(timers));
        gateways.get(daemon).forwarder().onRequest(request, reply);
        return reply;
    }
}
