/* Subcommands config show and publish. */
#include "baobabward/publish.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

static int parse_hex(const char *what, const char *text, size_t length,
		     uint8_t *out, size_t size, struct bb_error *err)
{
	if (length == size * 2 &&
	    !sodium_hex2bin(out, size, text, length, NULL, NULL, NULL))
		return 0;
	return bb_error_set(err, BB_ERROR_INVALID,
			    "%s is not %zu hexadecimal digits", what, size * 2);
}

static int read_secret(const char *path, uint8_t *secret, struct bb_error *err)
{
	char *text;
	size_t size;
	int rc;

	if (read_file(path, &text, &size, err))
		return -1;
	if (size && text[size - 1] == '\n')
		size--;
	rc = parse_hex(path, text, size, secret, BB_SIGNING_SECRET_KEY_SIZE,
		       err);
	sodium_memzero(text, size);
	g_free(text);
	return rc;
}

static void print_config(const struct bb_config *c)
{
	printf("version:               %" G_GUINT64_FORMAT "\n"
	       "automation:            %s\n"
	       "idempotency window:    %u ms\n"
	       "hosts:                 %zu\n"
	       "services:              %zu\n"
	       "backend servers:       %zu\n"
	       "routes:                %zu\n"
	       "client accounts:       %zu\n",
	       (guint64)c->version, c->automation ? "on" : "off",
	       c->idempotency_window_ms, c->hosts_nr, c->services_nr,
	       c->backends_nr, c->routes_nr, c->accounts_nr);
}

static struct bb_config *read_document_or_pages(const char *path,
						const char *public_hex,
						struct bb_error *err)
{
	uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE];

	if (!g_file_test(path, G_FILE_TEST_IS_DIR))
		return read_config(path, NULL, 0, err);
	if (!public_hex) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "published pages need --public-key");
		return NULL;
	}
	if (parse_hex("public key", public_hex, strlen(public_hex), public_key,
		      sizeof(public_key), err))
		return NULL;
	return read_publication(path, public_key, NULL, err);
}

int config_show(const struct command *command, int argc, char **argv)
{
	char *public_hex = NULL;
	const GOptionEntry entries[] = {
		{ "public-key", 0, 0, G_OPTION_ARG_STRING, &public_hex,
		  "Key that published pages must be signed with", "HEX" },
		{ 0 }
	};
	struct bb_error err = { 0 };
	struct bb_config *c;
	char *text;
	int rc;

	if (!parse_options(command, entries, &argc, &argv, 1, &rc))
		return rc;
	c = read_document_or_pages(argv[1], public_hex, &err);
	g_free(public_hex);
	if (!c)
		return fail(&err);
	if (json_output) {
		text = bb_config_to_json(c);
		fputs(text, stdout);
		free(text);
	} else {
		print_config(c);
	}
	bb_config_delete(c);
	return EXIT_OK;
}

static const struct bb_page *find_built_page(void *context, const char *name)
{
	const struct bb_publication *p = context;

	for (size_t i = 0; i < p->pages_nr; i++)
		if (!strcmp(p->pages[i].name, name))
			return &p->pages[i];
	return NULL;
}

/* Parses and assembles the pages as nodes do, before anything is written. */
static int verify_built_pages(struct bb_publication *p, struct bb_error *err)
{
	struct bb_index *index = bb_index_parse(&p->pages[0], err);
	struct bb_config *c = NULL;
	int rc;

	if (index && !bb_index_expand(index, find_built_page, p, err))
		c = bb_publication_assemble(index, find_built_page, p, err);
	rc = c ? 0 : -1;

	bb_config_delete(c);
	bb_index_delete(index);
	return rc;
}

/*
 * Checks that a configuration may succeed the one published in the directory,
 * if there is one, and derives the versions of its host list from that.
 */
static int check_against_published(const char *directory, const uint8_t *secret,
				   struct bb_config *next,
				   struct bb_index **index,
				   struct bb_error *err)
{
	uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE];
	struct bb_config *published;
	int rc;

	crypto_sign_ed25519_sk_to_pk(public_key, secret);
	published = read_publication(directory, public_key, index, err);
	if (!published && err->code == BB_ERROR_NOT_FOUND) {
		struct bb_page *page =
			bb_page_read(directory, BB_PAGE_INDEX, NULL);

		/* Without an index, nothing has been published yet. */
		bb_page_delete(page);
		return page ? -1 :
			      bb_config_set_hosts_versions(NULL, next, err);
	}
	if (!published)
		return -1;
	rc = bb_config_check_successor(published, next, err);
	if (!rc)
		rc = bb_config_set_hosts_versions(published, next, err);
	bb_config_delete(published);
	return rc;
}

static int publish_config(struct bb_config *c, const char *directory,
			  const uint8_t *secret, struct bb_error *err)
{
	struct bb_index *previous = NULL;
	struct bb_publication *p = NULL;
	int rc = check_against_published(directory, secret, c, &previous, err);

	if (!rc)
		p = bb_publication_build(c, previous, secret, err);
	rc = p ? verify_built_pages(p, err) : -1;
	if (!rc)
		rc = bb_publication_write(p, directory, err);
	if (!rc)
		rc = bb_publication_prune(p, previous, directory, err);
	if (!rc && json_output)
		print_json(json_pack("{s:I, s:I}", "version",
				     (json_int_t)c->version, "pages",
				     (json_int_t)p->pages_nr));
	else if (!rc)
		printf("published version %" G_GUINT64_FORMAT " in %zu pages\n",
		       (guint64)c->version, p->pages_nr);
	bb_publication_delete(p);
	bb_index_delete(previous);
	return rc;
}

int publish(const struct command *command, int argc, char **argv)
{
	char *directory = NULL;
	char *key_file = NULL;
	const GOptionEntry entries[] = {
		{ "directory", 'd', 0, G_OPTION_ARG_FILENAME, &directory,
		  "Write the pages to this directory", "DIR" },
		{ "signing-key", 'k', 0, G_OPTION_ARG_FILENAME, &key_file,
		  "File with the signing key", "FILE" },
		{ 0 }
	};
	uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE];
	struct bb_error err = { 0 };
	struct bb_config *c = NULL;
	int rc;

	if (!parse_options(command, entries, &argc, &argv, 1, &rc))
		return rc;
	if (!directory || !key_file) {
		fprintf(stderr,
			"%s: --directory and --signing-key are needed\n",
			g_get_prgname());
		return EXIT_USAGE;
	}
	rc = read_secret(key_file, secret, &err);
	if (!rc)
		c = read_config(argv[1], NULL, 0, &err);
	rc = c ? publish_config(c, directory, secret, &err) : -1;
	sodium_memzero(secret, sizeof(secret));
	bb_config_delete(c);
	g_free(directory);
	g_free(key_file);
	return rc ? fail(&err) : EXIT_OK;
}
