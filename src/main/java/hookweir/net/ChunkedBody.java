package hookweir.net;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ChunkedTransferEncoding;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.HttpCodecFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.ParsingResult;
import org.glassfish.grizzly.http.TransferEncoding;

/**
 * Chunked bodies, however cut. Stands in for the library's own decoder: that one keeps places in a buffer across reads,
 * and where a read ends inside the line with a chunk's length these no longer fit the buffer, so it takes a sound body
 * for a broken one. Here a line is read only once it is whole. Keeps its place in the message; runs on the selector.
 */
public final class ChunkedBody implements TransferEncoding {
    private static final int MOST_LINE_BYTES = 4096;
    private static final int MOST_DIGITS = 8;
    private static final int HEX = 16;

    private ChunkedBody() {
    }

    /** Makes a codec read chunked bodies by this. */
    public static <T extends HttpCodecFilter> T in(T codec) {
        for (TransferEncoding known : codec.getTransferEncodings()) {
            if (known instanceof ChunkedTransferEncoding) {
                codec.removeTransferEncoding(known);
            }
        }
        codec.addTransferEncoding(new ChunkedBody());
        return codec;
    }

    @Override
    public boolean wantDecode(HttpHeader packet) {
        return packet.isChunked();
    }

    /** All that is written here has a length. */
    @Override
    public boolean wantEncode(HttpHeader packet) {
        return false;
    }

    @Override
    public void prepareSerialize(FilterChainContext ctx, HttpHeader header, HttpContent content) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Buffer serializePacket(FilterChainContext ctx, HttpContent content) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ParsingResult parsePacket(FilterChainContext ctx, HttpHeader packet, Buffer buffer) {
        // chunkRemainder: bytes that a chunk still lacks; 0 where its end is due; negative where a length is.
        HttpCodecFilter.ContentParsingState state = ((HttpPacketParsing) packet).getContentParsingState();
        Buffer in = buffer;
        while (state.chunkRemainder <= 0) {
            int from = in.position();
            int end = from;
            while (end < in.limit() && in.get(end) != '\n') {
                end++;
            }
            if (end - from > MOST_LINE_BYTES) {
                throw new HttpBrokenContentException("a line without end in a chunked body");
            }
            if (end == in.limit()) {
                return ParsingResult.create(null, in.hasRemaining() ? in : null);
            }
            String line = in.toStringContent(java.nio.charset.StandardCharsets.ISO_8859_1, from, end).strip();
            Buffer rest = in.split(end + 1);
            in.tryDispose();
            in = rest;
            if (state.isLastChunk) {
                if (line.isEmpty()) {
                    return ParsingResult.create(packet.httpTrailerBuilder().build(), in);
                }
            } else if (state.chunkRemainder < 0) {
                state.chunkRemainder = length(line);
                state.isLastChunk = state.chunkRemainder == 0;
            } else if (line.isEmpty()) {
                state.chunkRemainder = -1;
            } else {
                throw new HttpBrokenContentException("a chunk is longer than it said");
            }
        }
        if (!in.hasRemaining()) {
            return ParsingResult.create(null, null);
        }
        int n = (int) Math.min(state.chunkRemainder, in.remaining());
        Buffer rest = n < in.remaining() ? in.split(in.position() + n) : null;
        state.chunkRemainder -= n;
        return ParsingResult.create(packet.httpContentBuilder().content(in).build(), rest);
    }

    private static long length(String line) {
        int semicolon = line.indexOf(';');
        String digits = semicolon < 0 ? line : line.substring(0, semicolon).strip();
        if (digits.isEmpty() || digits.length() > MOST_DIGITS || !digits.matches("[0-9A-Fa-f]+")) {
            throw new HttpBrokenContentException("a chunk without a length");
        }
        return Long.parseLong(digits, HEX);
    }
}
