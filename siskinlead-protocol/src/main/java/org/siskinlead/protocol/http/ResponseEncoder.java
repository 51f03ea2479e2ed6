package org.siskinlead.protocol.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Encodes responses; those to HEAD have no body, and those to CONNECT no transfer coding. */
final class ResponseEncoder extends HttpResponseEncoder {
    private final RequestDecoder requests;

    private ResponseEncoder(RequestDecoder requests) {
        this.requests = requests;
    }

    /**
     * Creates an encoder.
     * @param requests decoder of the requests of the same connection
     */
    static ResponseEncoder of(RequestDecoder requests) {
        return new ResponseEncoder(requests);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        boolean isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return super.isContentAlwaysEmpty(response)
                || (!isInterim && requests.method().equals(HttpMethod.HEAD));
    }

    @Override
    protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean isAlwaysEmpty) {
        if (!isAlwaysEmpty
                && requests.method().equals(HttpMethod.CONNECT)
                && response.status().codeClass() == HttpStatusClass.SUCCESS) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            return;
        }
        super.sanitizeHeadersBeforeEncode(response, isAlwaysEmpty);
    }
}
