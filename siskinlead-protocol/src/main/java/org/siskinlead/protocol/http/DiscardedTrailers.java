package org.siskinlead.protocol.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** Trailers of a request, which nothing reads; they are decoded and not stored. */
final class DiscardedTrailers extends DefaultHttpHeaders {
    private final Runnable onLine;

    private DiscardedTrailers(Runnable onLine) {
        this.onLine = onLine;
    }

    /**
     * Creates trailers.
     * @param onLine called for each line
     */
    static DiscardedTrailers of(Runnable onLine) {
        return new DiscardedTrailers(onLine);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        onLine.run();
        return this;
    }
}
