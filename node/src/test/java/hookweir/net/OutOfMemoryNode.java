package hookweir.net;

import hookweir.config.ConfigReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The main class of a scheduler process whose loop thread runs out of memory as soon as it serves. */
final class OutOfMemoryNode {
    private OutOfMemoryNode() {
    }

    /** Serves with the configuration file named by the first argument. */
    public static void main(String[] args) throws Exception {
        Node node = new Node(ConfigReader.fromFile(Path.of(args[0]), Map.of()));
        node.post(() -> {
            List<byte[]> blocks = new ArrayList<>();
            while (true) {
                blocks.add(new byte[1 << 20]);
            }
        });
        System.exit(node.serve());
    }
}
