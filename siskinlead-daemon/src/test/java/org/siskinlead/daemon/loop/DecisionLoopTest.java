package org.siskinlead.daemon.loop;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that the decision thread never waits for itself when it publishes more tasks than the ring buffer holds. */
class DecisionLoopTest {
    private static final int MORE_THAN_THE_RING_HOLDS = 40_000;
    private static final long TIMEOUT_S = 20;

    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        network.shutdownGracefully();
    }

    @Test
    void runsAllTasksInOrderThatANetworkThreadPublishesToItself() throws InterruptedException {
        DecisionLoop loop = DecisionLoop.on(network.next());

        network.next().execute(() -> publishMoreThanTheRingHolds(loop));

        awaitAll();
    }

    @Test
    void runsAllTasksInOrderThatItsOwnThreadPublishes() throws InterruptedException {
        try (DecisionLoop loop = DecisionLoop.start()) {
            loop.publish(() -> publishMoreThanTheRingHolds(loop));

            awaitAll();
        }
    }

    private final CountDownLatch allRun = new CountDownLatch(1);
    private final List<Integer> run = new ArrayList<>();

    private void publishMoreThanTheRingHolds(DecisionLoop loop) {
        for (int i = 0; i < MORE_THAN_THE_RING_HOLDS; i++) {
            int number = i;
            loop.publish(() -> run.add(number));
        }
        loop.publish(allRun::countDown);
    }

    private void awaitAll() throws InterruptedException {
        assertThat(allRun.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(run)
                .containsExactlyElementsIn(
                        IntStream.range(0, MORE_THAN_THE_RING_HOLDS).boxed().toList())
                .inOrder();
    }
}
