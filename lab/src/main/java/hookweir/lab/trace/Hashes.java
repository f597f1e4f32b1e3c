package hookweir.lab.trace;

import com.carrotsearch.hppc.BitMixer;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** 64-bit hashes of the names and numbers in a trace. */
final class Hashes {
    private Hashes() {
    }

    static long of(String name) {
        return MurmurHash3.hash128x64(name.getBytes(StandardCharsets.UTF_8))[0];
    }

    static long mix(long number) {
        return BitMixer.mix64(number);
    }
}
