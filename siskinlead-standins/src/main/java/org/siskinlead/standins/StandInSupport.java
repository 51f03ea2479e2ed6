package org.siskinlead.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.protocol.http.Addresses;
import org.siskinlead.protocol.http.ExchangeHandler;
import org.siskinlead.protocol.http.HttpClient;
import org.siskinlead.protocol.http.HttpLimits;
import org.siskinlead.protocol.http.HttpServer;
import org.siskinlead.protocol.json.Json;

/** HTTP server and registration with the platform, shared by the stand-ins. */
final class StandInSupport {
    private static final long REGISTER_TIMEOUT_MS = 5_000;

    private StandInSupport() {}

    static EventLoopGroup newEventLoopGroup() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    static void serve(String address, EventLoopGroup eventLoopGroup, ExchangeHandler handler)
            throws InterruptedException {
        HttpServer.start(Addresses.parse(address), eventLoopGroup, HttpLimits.PLATFORM, handler);
    }

    static void register(String platform, VmEntry entry, EventLoopGroup eventLoopGroup) {
        HttpClient.of(eventLoopGroup, 1_000)
                .send(
                        Addresses.parse(platform),
                        "POST",
                        "/admin/vms",
                        Map.of(),
                        Json.write(entry),
                        REGISTER_TIMEOUT_MS,
                        HttpClient.Reuse.FRESH,
                        result -> {
                            if (result.failure() != null) {
                                System.err.println(
                                        "cannot register " + entry.id() + " with the platform: " + result.failure());
                                System.exit(1);
                            }
                        });
    }

    static void runForever() throws InterruptedException {
        new CountDownLatch(1).await();
    }
}
