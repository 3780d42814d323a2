/* baobabctl, the command-line client for operators. */
#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "command.h"

/* To add a subcommand, add a row here and the function that runs it. */
static const struct command commands[] = {
	{ "table", "check", "TABLE", "Check a table against a base document",
	  table_check },
	{ "table", "build", "TABLE", "Make a document from a table",
	  table_build },
	{ "table", "diff", "BEFORE AFTER",
	  "List differences between tables or documents", table_diff },
	{ "table", "export", "DOCUMENT", "Write the table of a document",
	  table_export },
	{ "keys", "new", "", "Make a key and print it with its hash",
	  keys_new },
	{ "keys", "hash", "", "Read a key from standard input, print its hash",
	  keys_hash },
	{ "config", "show", "DOCUMENT|DIRECTORY",
	  "Check and show a document or published pages", config_show },
	{ "publish", NULL, "DOCUMENT",
	  "Sign a document and write its pages to a directory", publish },
	{ "signing-key", "new", "FILE", "Make a signing key", signing_key_new },
	{ "curve-key", "new", "FILE", "Make a CURVE key of a node",
	  curve_key_new },
	{ "status", NULL, "", "Ask nodes for their state", status },
	{ "explain", "request", "ID", "Show why a request was refused",
	  explain },
	{ "explain", "account", "NAME", "Show what nodes know of an account",
	  explain },
	{ "explain", "backend", "NAME",
	  "Show what nodes know of a backend server", explain },
};

static int usage(FILE *out)
{
	fprintf(out, "Usage: baobabctl COMMAND [OPTION...] [ARGUMENT...]\n\n"
		     "Commands:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		char *words = g_strjoin(" ", commands[i].group,
					commands[i].name, NULL);

		fprintf(out, "  %-16s %s\n", words, commands[i].summary);
		g_free(words);
	}
	fprintf(out,
		"\nbaobabctl COMMAND --help lists the options of a command.\n"
		"Exit codes: 0 done, 1 differences or problems found, 2 wrong "
		"arguments,\n3 invalid input, 4 file error.\n");
	return out == stdout ? EXIT_OK : EXIT_USAGE;
}

int main(int argc, char **argv)
{
	setlocale(LC_ALL, "");
	if (argc >= 2 && !strcmp(argv[1], "--version")) {
		printf("baobabctl %s\n", BB_VERSION);
		return EXIT_OK;
	}
	if (argc >= 2 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")))
		return usage(stdout);
	for (size_t i = 0; argc >= 2 && i < G_N_ELEMENTS(commands); i++) {
		const struct command *c = &commands[i];
		int words = c->name ? 2 : 1;

		if (strcmp(argv[1], c->group) != 0)
			continue;
		if (c->name && (argc < 3 || strcmp(argv[2], c->name) != 0))
			continue;
		return c->run(c, argc - words, argv + words);
	}
	return usage(stderr);
}
