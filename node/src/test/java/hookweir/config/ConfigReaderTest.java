package hookweir.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ConfigReaderTest {
    private static final String VALID = "{'listen':'127.0.0.1:1','discovery':'127.0.0.1:2','limits':{'sockets':99},"
        + "'settings':{'classes':[{'name':'a b','aim_us':7,'semantics':'read_like'}],'family_info':{'class_stretch':[2.5]},'me':3}}";

    private static Config read(String json, Map<String, String> env) throws Exception {
        return ConfigReader.parse(new ObjectMapper().readTree(json.replace('\'', '"')), env);
    }

    @Test
    void nestedSettingsAreMapped() throws Exception {
        Config c = read(VALID, Map.of("RELAY_LISTEN", "127.0.0.1:5"));
        assertEquals(5, c.listenAddress().getPort());
        assertEquals(99, c.maxDescriptors());
        assertEquals("a_b", c.settings().classNames.get(0));
        assertEquals(7, c.settings().policySettings.classes.get(0).softDeadlineUs);
        assertEquals(2.5, c.settings().policySettings.classes.get(0).softDeadlineStretch);
        assertEquals(3, c.settings().policySettings.schedulerIndex);
        assertEquals(250_000, c.settings().connectTimeoutUs);
    }

    private static final String RUNNING = "{'listen':'127.0.0.1:1','discovery':'127.0.0.1:2','settings':{'zones':['z'],"
        + "'classes':[{'name':'a','deadline_us':9,'semantics':'read_like'},{'name':'b','deadline_us':9,'semantics':'read_like','aim_us':3}],"
        + "'limits':{'max_attempts':3}}}";

    private static Config reload(Config running, String... replaced) throws Exception {
        Path file = Files.createTempFile("hookweir", ".json");
        try {
            String text = RUNNING;
            for (int i = 0; i < replaced.length; i += 2) {
                text = text.replace(replaced[i], replaced[i + 1]);
            }
            Files.writeString(file, text.replace('\'', '"'));
            return ConfigReader.reload(Map.of("RELAY_CONFIG", file.toString()), running);
        } finally {
            Files.delete(file);
        }
    }

    /** A default in place of a missing key would change a setting that nobody meant to change, so such files are rejected as a whole. */
    @Test
    void invalidFilesAreRejectedOnReload() throws Exception {
        Config running = read(RUNNING, Map.of());
        for (String[] fault : new String[][] {{"'deadline_us':9,", "", "classes.0.deadline_us"},
            {"'deadline_us':9", "'deadline_us':0", "classes.0.deadline_us"},
            {"'deadline_us':9", "'deadline_us':-4", "classes.0.deadline_us"}, {"'max_attempts':3", "'max_attempts':0", "limits.max_attempts"},
            {"'max_attempts':3", "", "limits.max_attempts"},
            {"'max_attempts':3", "'max_attempts':null", "limits.max_attempts"},
            {"'discovery':'127.0.0.1:2',", "", "discovery"}, {"'listen':'127.0.0.1:1',", "", "listen"}, {RUNNING, "", "RELAY_CONFIG"},
            {RUNNING, RUNNING.substring(0, 99), "RELAY_CONFIG"}, {RUNNING, RUNNING + "}", "RELAY_CONFIG"}, {"['z']", "['y']", "zones"},
            {"'name':'a',", "", "classes.0.name"}, {"'max_attempts':3", "'max_attempts':'3'", "limits.max_attempts"}}) {
            InvalidSettingException e = assertThrows(InvalidSettingException.class, () -> reload(running, fault[0], fault[1]), fault[2]);
            assertEquals(fault[2], e.key.replaceFirst("^settings\\.", ""));
        }
        assertThrows(InvalidSettingException.class, () -> read(RUNNING.replace("'max_attempts':3", "'max_attempts':0"), Map.of())); // also at startup
    }

    /** Jobs in progress keep their class: a changed class gets a new number; a removed one is no longer known, but may come back. */
    @Test
    void classesThatChangeGetNewNumbers() throws Exception {
        Config first = read(RUNNING, Map.of());
        Config second = reload(first, "'name':'a','deadline_us':9,'semantics':'read_like'", "'name':'c','deadline_us':9,'semantics':'non_idempotent'",
            "'aim_us':3", "'aim_us':4", "'max_attempts':3", "'max_attempts':1");
        assertEquals(Map.of("c", 2, "b", 3), second.settings().classNumbers);
        assertEquals(4, second.settings().policySettings.classes.size());
        assertEquals(3, second.settings().policySettings.classes.get(1).softDeadlineUs);
        assertEquals(4, second.settings().policySettings.classes.get(3).softDeadlineUs);
        assertEquals(1, second.settings().policySettings.maxAttempts);
        assertEquals(Map.of("a", 0, "b", 1), reload(second).settings().classNumbers);
    }

    /** Only descriptor 0 can be inherited; any other is rejected. */
    @Test
    void onlyDescriptorZeroIsInherited() throws Exception {
        assertTrue(read(VALID, Map.of("RELAY_FD", "0", "TMPDIR", "/tmp")).inheritsListenSocket());
        assertEquals("RELAY_FD", assertThrows(InvalidSettingException.class, () -> read(VALID, Map.of("RELAY_FD", "3"))).key);
        assertEquals("admin_addr", assertThrows(InvalidSettingException.class, () -> read(VALID, Map.of("RELAY_ADMIN_ADDR", "here"))).key);
    }

    /** Handover is on by default; the variable overrides the key, and an error names whichever of them was invalid. */
    @Test
    void handoverCanBeDisabled() throws Exception {
        String off = VALID.replace("'limits'", "'upgrade':{'handover':'off'},'limits'");
        Map<String, String> shared = Map.of("RELAY_FD", "0", "TMPDIR", "/tmp");
        assertTrue(read(VALID, shared).handoverEnabled() && read(VALID, shared).handoverSocketPath() != null);
        assertFalse(read(off, shared).handoverEnabled());
        assertNull(read(off, shared).handoverSocketPath());
        assertNull(read(VALID, Map.of("RELAY_FD", "0", "RELAY_HANDOVER", "off")).handoverSocketPath());
        assertTrue(read(off, Map.of("RELAY_HANDOVER", "on")).handoverEnabled());
        assertEquals("upgrade.handover", assertThrows(InvalidSettingException.class, () -> read(off.replace("'off'", "false"), Map.of())).key);
        assertEquals("RELAY_HANDOVER", assertThrows(InvalidSettingException.class, () -> read(off, Map.of("RELAY_HANDOVER", "maybe"))).key);
    }

    private static final String WITH_TENANTS = VALID.replace("'me':3",
        "'me':3,'over_share_worth':0.2,'rules':{'cold_share':0.34},'orgs':[{'name':'x','allowance_per_s':4.5,'portion':0.77},{'name':'y','portion':0.23}]");

    @Test
    void tenantsAndTheirSharesAreRead() throws Exception {
        Config c = read(WITH_TENANTS, Map.of());
        assertEquals(Map.of("x", 0, "y", 1), c.settings().tenantNumbers);
        assertEquals(4.5, c.settings().policySettings.tenantRatePerS[0]);
        assertEquals(0.2, c.settings().policySettings.overShareValue);
        for (String[] fault : new String[][] {{"0.77", "1.77", "orgs.0.portion"}, {"0.23", "-0.1", "orgs.1.portion"}, {"0.23", "'much'", "orgs.1.portion"},
            {"4.5", "-1", "orgs.0.allowance_per_s"}, {"'over_share_worth':0.2", "'over_share_worth':2", "over_share_worth"},
            {"'name':'y',", "", "orgs.1.name"}, {"'name':'y'", "'name':'x'", "orgs.1.name"}, {"0.34", "3.4", "rules.cold_share"}}) {
            assertEquals(fault[2], assertThrows(InvalidSettingException.class, () -> read(WITH_TENANTS.replace(fault[0], fault[1]), Map.of()), fault[2]).key);
        }
    }

    @Test
    void errorsNameTheirKey() {
        for (String[] fault : new String[][] {{"'127.0.0.1:1'", "'nowhere'", "listen"}, {"'127.0.0.1:2'", "'1.2.3.4:99999'", "discovery"},
            {"99", "5", "limits.sockets"}, {"'me':3", "'me':'x'", "me"}, {"read_like", "lively", "classes.0.semantics"}}) {
            InvalidSettingException e = assertThrows(InvalidSettingException.class, () -> read(VALID.replace(fault[0], fault[1]), Map.of()));
            assertEquals(fault[2], e.key);
        }
    }
}
