package hookweir;

import hookweir.config.BadSetting;
import hookweir.config.Config;
import hookweir.config.ConfigReader;
import hookweir.net.Node;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line. */
public final class Main {
    private static final int USAGE = 2;
    private static final int FAILED = 1;

    /** A sub-command; its exit status, where it ends. */
    interface Command {
        int run() throws IOException, InterruptedException;
    }

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class,
        usage = "serve: the scheduler on sockets, told by the RELAY_ variables; adapter: the same decisions on the simulator's wire;"
            + " check-config FILE: checks a configuration; rehearse: serves itself a few requests and ends; version")
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "adapter", impl = Adapter.class),
        @SubCommand(name = "check-config", impl = CheckConfig.class),
        @SubCommand(name = "rehearse", impl = Rehearse.class),
        @SubCommand(name = "version", impl = Version.class)})
    private Command command;

    /** Entry point. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("hookweir: " + e.getMessage());
            System.err.println("usage: java -jar hookweir.jar COMMAND");
            parser.printUsage(System.err);
            System.exit(USAGE);
        }
        System.exit(main.command.run());
    }

    /** The scheduler. */
    public static final class Serve implements Command {
        @Override
        public int run() throws IOException, InterruptedException {
            Config config;
            try {
                config = ConfigReader.fromEnvironment(System.getenv());
            } catch (BadSetting e) {
                System.err.println("hookweir: " + e.getMessage());
                return FAILED;
            }
            return new Node(config).serve();
        }
    }

    /** The simulator's wire on standard input and output. */
    public static final class Adapter implements Command {
        @Override
        public int run() {
            hookweir.adapter.Main.main(new String[] {"adapter"});
            return 0;
        }
    }

    /** Checks a configuration without serving. */
    public static final class CheckConfig implements Command {
        @Argument(required = true, metaVar = "FILE", usage = "the configuration")
        private String file;

        @Override
        public int run() {
            try {
                Config c = ConfigReader.fromFile(Path.of(file), Map.of());
                System.out.println("ok: " + c.name() + " on " + c.listen() + ", discovery " + c.discovery() + ", "
                    + c.settings().settings.classes.size() + " classes");
                return 0;
            } catch (BadSetting e) {
                System.err.println("hookweir: " + e.getMessage());
                return FAILED;
            }
        }
    }

    /** Serves itself a few requests and ends. */
    public static final class Rehearse implements Command {
        @Override
        public int run() throws IOException, InterruptedException {
            boolean right = Rehearsal.plays();
            System.out.println(right ? "rehearsal ok" : "rehearsal failed");
            return right ? 0 : FAILED;
        }
    }

    /** Prints the version. */
    public static final class Version implements Command {
        @Override
        public int run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("hookweir " + (version == null ? "(unpackaged)" : version));
            return 0;
        }
    }
}
