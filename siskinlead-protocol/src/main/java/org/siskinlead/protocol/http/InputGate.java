package org.siskinlead.protocol.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import org.jspecify.annotations.Nullable;

/**
 * Stops reading from a connection while a request is being answered and enough of the next ones has arrived, and charges
 * bytes that are not decoded to the account of all connections. Up to that amount it reads on, because only reading
 * shows that the peer has closed the connection.
 */
final class InputGate extends ChannelDuplexHandler {
    /** Undecoded bytes of a connection from which on it is not read until its request is answered. */
    static final int MAX_HELD_BYTES = 4_096;

    private final RequestDecoder decoder;
    private final ConnectionBytes undecoded;
    private @Nullable ChannelHandlerContext gateContext;
    private int counted;
    private boolean holding;
    private boolean closing;

    private InputGate(RequestDecoder decoder, ConnectionBytes undecoded) {
        this.decoder = decoder;
        this.undecoded = undecoded;
    }

    /**
     * Creates a gate.
     * @param decoder decoder behind it
     * @param undecoded account of all connections
     */
    static InputGate of(RequestDecoder decoder, ConnectionBytes undecoded) {
        return new InputGate(decoder, undecoded);
    }

    /** Decodes what was held back and reads on, after a response. */
    void onResponded() {
        ChannelHandlerContext added = gateContext;
        if (added != null && !added.isRemoved()) {
            decoder.resume();
            update(added);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        gateContext = context;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        FairReads.onDecoded(context.channel(), decoder.takeDecodingNanos());
        update(context);
        context.fireChannelReadComplete();
    }

    /** Passes a request to read on, unless reading has stopped; the codec asks for more when it has decoded nothing. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (!holding) {
            context.read();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == HttpExchange.ConnectionEvent.LAST_RESPONSE_SENT) {
            closing = true;
            decoder.discardAll();
            update(context);
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        undecoded.release(context.channel());
        context.fireChannelInactive();
    }

    private void update(ChannelHandlerContext context) {
        int held = decoder.undecodedBytes();
        if (held != counted && context.channel().isActive()) {
            counted = held;
            undecoded.set(context.channel(), held);
        }
        boolean hold = held > MAX_HELD_BYTES && decoder.isPaused() && !closing;
        if (hold != holding) {
            holding = hold;
            context.channel().config().setAutoRead(!hold);
        }
    }
}
