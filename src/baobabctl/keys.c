/* Subcommands keys new, keys hash, signing-key new and curve-key new. */
#include "baobabward/keys.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "command.h"

/* Longest key that keys hash accepts. */
#define KEY_MAX_BYTES 4096

int keys_new(const struct command *command, int argc, char **argv)
{
	char key[BB_KEY_TEXT_SIZE];
	char hex[BB_KEY_HASH_HEX_SIZE];
	struct bb_error err = { 0 };
	int rc;

	if (!parse_options(command, NULL, &argc, &argv, 0, &rc))
		return rc;
	if (bb_key_generate(key, &err))
		return fail(&err);
	bb_key_hash_hex(key, strlen(key), hex);
	if (json_output)
		print_json(json_pack("{s:s, s:s}", "key", key, "hash", hex));
	else
		printf("key:  %s\nhash: %s\n", key, hex);
	sodium_memzero(key, sizeof(key));
	return EXIT_OK;
}

int keys_hash(const struct command *command, int argc, char **argv)
{
	char key[KEY_MAX_BYTES + 2];
	char hex[BB_KEY_HASH_HEX_SIZE];
	struct bb_error err = { 0 };
	size_t size;
	int rc;

	if (!parse_options(command, NULL, &argc, &argv, 0, &rc))
		return rc;
	size = fread(key, 1, sizeof(key), stdin);
	/* One line end after the key is not part of it. */
	if (size && key[size - 1] == '\n')
		size--;
	if (size && key[size - 1] == '\r')
		size--;
	if (!size || size > KEY_MAX_BYTES || memchr(key, '\n', size) ||
	    memchr(key, ' ', size)) {
		bb_error_set(&err, BB_ERROR_INVALID,
			     "standard input is not one key of 1 to %d bytes "
			     "without spaces",
			     KEY_MAX_BYTES);
		sodium_memzero(key, sizeof(key));
		return fail(&err);
	}
	bb_key_hash_hex(key, size, hex);
	sodium_memzero(key, sizeof(key));
	if (json_output)
		print_json(json_pack("{s:s}", "hash", hex));
	else
		printf("%s\n", hex);
	return EXIT_OK;
}

/* Creates a file that only its owner can read; fails if it exists. */
static int write_secret(const char *path, const char *text,
			struct bb_error *err)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
	ssize_t n;

	if (fd < 0)
		return bb_error_set(err, BB_ERROR_IO, "cannot create %s: %s",
				    path, g_strerror(errno));
	n = write(fd, text, strlen(text));
	if (close(fd) || n != (ssize_t)strlen(text))
		return bb_error_set(err, BB_ERROR_IO, "cannot write %s", path);
	return 0;
}

int curve_key_new(const struct command *command, int argc, char **argv)
{
	char public_key[BB_CURVE_KEY_SIZE + 1];
	char secret[BB_CURVE_KEY_SIZE + 1];
	struct bb_error err = { 0 };
	int rc;

	if (!parse_options(command, NULL, &argc, &argv, 1, &rc))
		return rc;
	if (zmq_curve_keypair(public_key, secret))
		rc = bb_error_set(&err, BB_ERROR_IO,
				  "ZeroMQ was built without CURVE");
	else
		rc = write_secret(argv[1], secret, &err);
	sodium_memzero(secret, sizeof(secret));
	if (rc)
		return fail(&err);
	if (json_output)
		print_json(json_pack("{s:s}", "public_key", public_key));
	else
		printf("%s\n", public_key);
	return EXIT_OK;
}

int signing_key_new(const struct command *command, int argc, char **argv)
{
	uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE];
	uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE];
	char public_hex[BB_SIGNING_PUBLIC_KEY_SIZE * 2 + 1];
	char secret_hex[BB_SIGNING_SECRET_KEY_SIZE * 2 + 1];
	struct bb_error err = { 0 };
	int rc;

	if (!parse_options(command, NULL, &argc, &argv, 1, &rc))
		return rc;
	rc = bb_signing_key_generate(public_key, secret, &err);
	sodium_bin2hex(public_hex, sizeof(public_hex), public_key,
		       sizeof(public_key));
	sodium_bin2hex(secret_hex, sizeof(secret_hex), secret, sizeof(secret));
	if (!rc)
		rc = write_secret(argv[1], secret_hex, &err);
	sodium_memzero(secret, sizeof(secret));
	sodium_memzero(secret_hex, sizeof(secret_hex));
	if (rc)
		return fail(&err);
	if (json_output)
		print_json(json_pack("{s:s}", "public_key", public_hex));
	else
		printf("%s\n", public_hex);
	return EXIT_OK;
}
