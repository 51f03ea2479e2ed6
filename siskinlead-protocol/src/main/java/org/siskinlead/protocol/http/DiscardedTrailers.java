package org.siskinlead.protocol.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Trailers of a request, which nothing reads; they are decoded and not stored. */
final class DiscardedTrailers extends DefaultHttpHeaders {
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new DiscardedTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new DiscardedTrailers();
        }
    };

    private DiscardedTrailers() {}

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }
}
