/*
 * Fuzzes the parsers of documents, index pages and encoded pages: no input may
 * crash them, an error must have a message, an accepted document must be
 * written and read back unchanged, and each of its routes must be found by its
 * prefix.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/config.h"
#include "baobabward/publish.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fuzz_page(const char *data, size_t size)
{
	struct bb_page *page = bb_page_decode(BB_PAGE_INDEX, data, size, NULL);
	struct bb_index *index = page ? bb_index_parse(page, NULL) : NULL;

	bb_index_delete(index);
	bb_page_delete(page);
}

static void fuzz_index(const char *data, size_t size)
{
	uint8_t signature[BB_PAGE_SIGNATURE_SIZE] = { 0 };
	struct bb_page *page =
		bb_page_new(BB_PAGE_INDEX, data, size, signature);

	bb_index_delete(bb_index_parse(page, NULL));
	bb_page_delete(page);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct bb_error err = { 0 };
	struct bb_config *c = bb_config_parse((const char *)data, size, &err);
	struct bb_config *again;
	char *text, *text_again;
	bool known;

	fuzz_page((const char *)data, size);
	fuzz_index((const char *)data, size);
	if (!c) {
		if (!err.code || !err.message[0])
			abort();
		return 0;
	}
	text = bb_config_to_json(c);
	again = bb_config_parse(text, strlen(text), &err);
	if (!again)
		abort();
	text_again = bb_config_to_json(again);
	if (strcmp(text, text_again) != 0 || c->seats_hash != again->seats_hash)
		abort();
	for (size_t i = 0; i < c->routes_nr; i++)
		if (bb_config_match_route(
			    c, c->routes[i].host_name, c->routes[i].path_prefix,
			    c->routes[i].methods, &known) == BB_NO_ROW)
			abort();
	free(text);
	free(text_again);
	bb_config_delete(c);
	bb_config_delete(again);
	return 0;
}
