package hookweir.net;

import hookweir.config.ConfigReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A scheduler whose loop runs out of memory as soon as it serves. */
final class OutOfMemoryNode {
    private OutOfMemoryNode() {
    }

    /** Serves with the configuration named. */
    public static void main(String[] args) throws Exception {
        Node node = new Node(ConfigReader.fromFile(Path.of(args[0]), Map.of()));
        node.post(() -> {
            List<byte[]> all = new ArrayList<>();
            while (true) {
                all.add(new byte[1 << 20]);
            }
        });
        System.exit(node.serve());
    }
}
