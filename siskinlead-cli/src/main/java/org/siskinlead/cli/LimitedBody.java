package org.siskinlead.cli;

import java.io.IOException;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/** Reads the body of a response as text, up to a number of bytes; a longer one fails. */
final class LimitedBody implements BodySubscriber<String> {
    private final BodySubscriber<String> text;
    private final long maxBytes;
    private Flow.@Nullable Subscription subscription;
    private long bytes;

    private LimitedBody(BodySubscriber<String> text, long maxBytes) {
        this.text = text;
        this.maxBytes = maxBytes;
    }

    /** Creates a handler of bodies of up to a number of bytes. */
    static BodyHandler<String> ofBytes(long maxBytes) {
        return response -> new LimitedBody(BodyHandlers.ofString().apply(response), maxBytes);
    }

    @Override
    public CompletionStage<String> getBody() {
        return text.getBody();
    }

    @Override
    public void onSubscribe(Flow.Subscription added) {
        subscription = added;
        text.onSubscribe(added);
    }

    @Override
    public void onNext(List<ByteBuffer> parts) {
        for (ByteBuffer part : parts) {
            bytes += part.remaining();
        }
        if (bytes <= maxBytes) {
            text.onNext(parts);
            return;
        }
        if (subscription != null) {
            subscription.cancel();
        }
        text.onError(new IOException("the response is longer than " + maxBytes + " bytes"));
    }

    @Override
    public void onError(Throwable failure) {
        text.onError(failure);
    }

    @Override
    public void onComplete() {
        text.onComplete();
    }
}
