package hookweir.lab;

import java.io.IOException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The lab's command line. */
public final class Main {
    private static final int USAGE_EXIT_STATUS = 2;

    /** A sub-command. */
    public abstract static class Command {
        @Option(name = "--help", aliases = "-h", help = true, usage = "prints this")
        private boolean help;

        /** Runs the command; returns the exit status. */
        protected abstract int run() throws IOException, InterruptedException;

        /** What the command does, with an example. */
        protected abstract String description();
    }

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class,
        usage = "capacity: how many jobs per second one scheduler serves; saturate: full load, with memory use for "
            + "each minute; compare: several builds in turn under closed loops; "
            + "check-history: checks recorded histories against the rules; mutate-history: breaks a history in every place; "
            + "two-lives: stops a scheduler at every point and checks both runs; random-stops: does so repeatedly under load; "
            + "soak: stops a scheduler by series of signals up to an early kill; "
            + "departures: lets clients leave a scheduler with unread input; "
            + "misuse: measures usual clients while others send what they should not; "
            + "trace-inspect: summarizes a public trace; "
            + "scale: simulates workers and schedulers, and measures their message traffic")
    @SubCommands({
        @SubCommand(name = "capacity", impl = Capacity.class),
        @SubCommand(name = "compare", impl = Compare.class),
        @SubCommand(name = "saturate", impl = Saturate.class),
        @SubCommand(name = "check-history", impl = hookweir.lab.check.CheckHistory.class),
        @SubCommand(name = "mutate-history", impl = hookweir.lab.check.MutateHistory.class),
        @SubCommand(name = "two-lives", impl = hookweir.lab.lives.StopAndRestart.class),
        @SubCommand(name = "random-stops", impl = hookweir.lab.lives.RandomStops.class),
        @SubCommand(name = "soak", impl = hookweir.lab.lives.Soak.class),
        @SubCommand(name = "departures", impl = hookweir.lab.lives.Departures.class),
        @SubCommand(name = "misuse", impl = Misuses.class),
        @SubCommand(name = "trace-inspect", impl = hookweir.lab.trace.TraceInspectCommand.class),
        @SubCommand(name = "scale", impl = hookweir.lab.scale.ScaleCommand.class)})
    private Command command;

    @Option(name = "--help", aliases = "-h", help = true, usage = "prints this")
    private boolean help;

    private Main() {
    }

    /** Entry point. */
    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        CmdLineParser parser = parser(main);
        try {
            parser.parseArgument(args);
            if (main.help) {
                parser.printUsage(System.out);
            } else if (main.command.help) {
                System.out.println(main.command.description());
                parser(main.command).printUsage(System.out);
            } else {
                System.exit(main.command.run());
            }
        } catch (CmdLineException e) {
            System.err.println("hookweir-lab: " + e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_EXIT_STATUS);
        } catch (IOException e) {
            System.err.println("hookweir-lab: " + e.getMessage());
            System.exit(1);
        }
    }

    private static CmdLineParser parser(Object bean) {
        return new CmdLineParser(bean, ParserProperties.defaults().withShowDefaults(true));
    }
}
