package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which connections are closed when there are too many. */
class OpenConnectionsTest {
    private OpenConnections connections = OpenConnections.of(4);

    // Guards against callers between two requests who are cut while connections without a whole header section are
    // open.
    @Test
    void closesAConnectionWithoutAHeaderSectionBeforeAnIdleOne() {
        Channel idle = answered(false);
        Channel first = admitted();
        Channel second = admitted();
        admitted();

        assertThat(connections.admit(new EmbeddedChannel())).containsExactly(first);
        assertThat(connections.admit(new EmbeddedChannel())).containsExactly(second);
        assertThat(connections.count()).isEqualTo(4);
        connections.remove(idle);
        assertThat(connections.count()).isEqualTo(3);
    }

    // Guards against new callers who are pushed out, before their request arrives, by clients that open connections
    // fast.
    @Test
    void closesConnectionsWithAnUnfinishedHeaderSectionBeforeSilentOnes() {
        admitted();
        admitted();
        Channel unfinished = admitted();
        connections.onNextRequest(unfinished);
        admitted();

        for (int i = 0; i < 10; i++) {
            Channel next = new EmbeddedChannel();
            assertThat(connections.admit(next)).containsExactly(unfinished);
            connections.onNextRequest(next);
            unfinished = next;
        }
    }

    // Guards against callers between two requests who are cut while others send what is refused again and again.
    @Test
    void closesARefusedConnectionBeforeOneThatIsIdleOrArriving() {
        connections = OpenConnections.of(5);
        answered(false);
        Channel arriving = answered(false);
        connections.onNextRequest(arriving);
        Channel refused = answered(true);
        answering();

        assertThat(connections.admit(new EmbeddedChannel())).containsExactly(refused);
    }

    // Guards against a refused peer that raises its rank by the first bytes of another request.
    @Test
    void keepsTheRankOfARefusedConnectionUntilAHeaderSectionIsComplete() {
        connections = OpenConnections.of(5);
        Channel refused = answered(true);
        connections.onNextRequest(refused);
        answered(false);
        answered(false);
        answering();

        assertThat(connections.admit(new EmbeddedChannel())).containsExactly(refused);
    }

    // Guards against closing a connection whose request may run, which its caller could not tell from a lost answer.
    @Test
    void neverClosesAConnectionWhoseRequestIsBeingAnswered() {
        answering();
        answering();
        Channel last = new EmbeddedChannel();

        assertThat(connections.admit(last)).containsExactly(last);
        assertThat(connections.count()).isEqualTo(2);
    }

    // Guards against descriptors that are used up by the connections to the targets of many requests.
    @Test
    void makesRoomForTheConnectionToTheTarget() {
        Channel first = admitted();
        Channel second = admitted();
        admitted();
        Channel asking = admitted();

        assertThat(connections.onAnswering(asking)).containsExactly(first);
        connections.onAnswered(asking, false);
        admitted();
        assertThat(connections.onAnswering(asking)).containsExactly(second);
    }

    // Guards against a connection that was closed to make room and is counted again by what it had sent before.
    @Test
    void ignoresAConnectionThatWasClosedToMakeRoom() {
        Channel closed = admitted();
        List.of(1, 2, 3, 4).forEach(i -> admitted());

        assertThat(connections.onAnswering(closed)).isEmpty();
        connections.onAnswered(closed, false);

        assertThat(connections.count()).isEqualTo(4);
    }

    private Channel admitted() {
        Channel connection = new EmbeddedChannel();
        connections.admit(connection);
        return connection;
    }

    private Channel answering() {
        Channel connection = admitted();
        connections.onHead(connection);
        connections.onAnswering(connection);
        return connection;
    }

    private Channel answered(boolean wasRefused) {
        Channel connection = answering();
        connections.onAnswered(connection, wasRefused);
        return connection;
    }
}
