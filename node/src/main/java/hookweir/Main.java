package hookweir;

import hookweir.config.Config;
import hookweir.config.ConfigReader;
import hookweir.config.InvalidSettingException;
import hookweir.net.Node;
import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line of hookweir. */
public final class Main {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILURE = 1;

    /** A sub-command. */
    abstract static class Command {
        @Option(name = "--help", aliases = "-h", help = true, usage = "prints this help")
        private boolean help;

        /** Runs the command and returns its exit status. */
        abstract int run() throws IOException, InterruptedException;

        /** Returns a one-line description. */
        abstract String description();

        /** Returns an example call for the help text. */
        abstract String example();
    }

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class,
        usage = "serve: runs the scheduler, configured by the RELAY_ variables; adapter: runs the scheduling policy for the simulator;"
            + " check-config FILE: validates a configuration; rehearse: runs a self-test and exits; version: prints the version")
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "adapter", impl = Adapter.class),
        @SubCommand(name = "check-config", impl = CheckConfig.class),
        @SubCommand(name = "rehearse", impl = Rehearse.class),
        @SubCommand(name = "version", impl = Version.class)})
    private Command command;

    @Option(name = "--help", aliases = "-h", help = true, usage = "prints this help")
    private boolean help;

    /** Entry point. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("hookweir: " + e.getMessage());
            System.err.println("usage: java -jar hookweir.jar COMMAND, see COMMAND --help for details");
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE);
        }
        if (main.help) {
            System.out.println("usage: java -jar hookweir.jar COMMAND, see COMMAND --help for details");
            parser.printUsage(System.out);
        } else if (main.command.help) {
            System.out.println(main.command.description());
            new CmdLineParser(main.command).printUsage(System.out);
            System.out.println("example: " + main.command.example());
        } else {
            System.exit(main.command.run());
        }
    }

    /** Runs the scheduler. */
    public static final class Serve extends Command {
        @Override
        String description() {
            return "Runs the scheduler, configured by the RELAY_ variables: see README.md.";
        }

        @Override
        String example() {
            return "RELAY_CONFIG=config.json java -jar hookweir.jar serve";
        }

        @Override
        int run() throws IOException, InterruptedException {
            Node.installReloadSignalHandler();
            Config config;
            try {
                config = ConfigReader.fromEnvironment(System.getenv());
            } catch (InvalidSettingException e) {
                System.err.println("hookweir: " + e.getMessage());
                return EXIT_FAILURE;
            }
            return new Node(config).serve();
        }
    }

    /** Runs the scheduling policy for the simulator, on standard input and output. */
    public static final class Adapter extends Command {
        @Override
        String description() {
            return "Runs the scheduling policy for the simulator, on standard input and output.";
        }

        @Override
        String example() {
            return "java -jar hookweir.jar adapter";
        }

        @Override
        int run() {
            hookweir.adapter.Main.main(new String[] {"adapter"});
            return 0;
        }
    }

    /** Validates a configuration file. */
    public static final class CheckConfig extends Command {
        @Override
        String description() {
            return "Validates a configuration file and names the invalid key.";
        }

        @Override
        String example() {
            return "java -jar hookweir.jar check-config config.json";
        }

        @Argument(required = true, metaVar = "FILE", usage = "configuration file")
        private String file;

        @Override
        int run() {
            try {
                Config config = ConfigReader.fromFile(Path.of(file), System.getenv());
                System.out.println("ok: " + config.name() + " on " + config.listenAddress() + ", discovery " + config.listServiceAddress() + ", "
                    + config.settings().policySettings.classes.size() + " classes, handover " + (config.handoverEnabled() ? "on" : "off"));
                return 0;
            } catch (InvalidSettingException e) {
                System.err.println("hookweir: " + e.getMessage());
                return EXIT_FAILURE;
            }
        }
    }

    /** Runs a self-test. */
    public static final class Rehearse extends Command {
        @Override
        String description() {
            return "Starts a scheduler that serves itself a few requests, and exits.";
        }

        @Override
        String example() {
            return "java -jar hookweir.jar rehearse";
        }

        @Override
        int run() throws IOException, InterruptedException {
            boolean passed = Rehearsal.run();
            System.out.println(passed ? "rehearsal ok" : "rehearsal failed");
            return passed ? 0 : EXIT_FAILURE;
        }
    }

    /** Prints the version. */
    public static final class Version extends Command {
        @Override
        String description() {
            return "Prints the version.";
        }

        @Override
        String example() {
            return "java -jar hookweir.jar version";
        }

        @Override
        int run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("hookweir " + (version == null ? "(unpackaged)" : version));
            return 0;
        }
    }
}
