"""Parsers of single values; each raises `ValueError` if a value is not allowed."""

import hashlib
import ipaddress
import re
from collections.abc import Callable
from urllib.parse import urlsplit

from ..model import VmAddress
from ..tokens import MAX_KEY_BYTES, MIN_KEY_BYTES
from ._keys import Key, Kind

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")
_INTEGER = re.compile(r"-?[0-9]{1,18}\Z")
_SEED = re.compile(r"([^=/\s]+)=(\[[^\]]+\]|[^:/\s]+):([0-9]+)/([^/\s]+)/([^/\s]+)\Z")
_PASSWORD_HASH = re.compile(r"\*?([0-9a-fA-F]{40})\Z")
_MAX_PORT = 65_535
_MAX_USER_CHARACTERS = 32
_MAX_TEXT_CHARACTERS = 64


def parse_value(key: Key, text: str) -> object:
    """Return the value of a key, parsed from its text.

    Raises:
        ValueError: if it is not allowed; the message doesn't quote a secret.
    """
    return _PARSERS[key.kind](key, text)


def parse_user(name: str, text: str) -> str:
    """Return SHA1(SHA1(password)) in hex.

    Args:
        name: the user name.
        text: the password, or its hash in hex, optionally after `*`.

    Raises:
        ValueError: if the name or the password is not allowed.
    """
    if not 0 < len(name) <= _MAX_USER_CHARACTERS or not name.isprintable():
        raise ValueError("the user name must be 1 to 32 printable characters")
    if not text:
        raise ValueError("the password is empty")
    password_hash = _PASSWORD_HASH.match(text)
    if password_hash is not None:
        return password_hash[1].lower()
    inner_digest = hashlib.sha1(text.encode("utf-8")).digest()
    return hashlib.sha1(inner_digest).hexdigest()


def _parse_name(key: Key, text: str) -> str:
    if not _NAME.match(text):
        raise ValueError(f"{_quote(text)} is not a name")
    return text


def _parse_text(key: Key, text: str) -> str:
    if len(text) > _MAX_TEXT_CHARACTERS or not text.isprintable():
        raise ValueError("the text is too long or not printable")
    return text


def _parse_integer(key: Key, text: str) -> int:
    if not _INTEGER.match(text):
        raise ValueError(f"{_quote(text)} is not an integer")
    number = int(text)
    if not key.low <= number <= key.high:
        raise ValueError(f"{number} is out of range")
    return number


def _parse_ip_address(key: Key, text: str) -> str:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueError(f"{_quote(text)} is not an IP address") from None


def _parse_choice(key: Key, text: str) -> str:
    if text not in key.choices:
        raise ValueError(f"{_quote(text)} is not an accepted value")
    return text


def _parse_path(key: Key, text: str) -> str:
    if "\0" in text:
        raise ValueError("the path contains a NUL byte")
    return text


def _parse_url(key: Key, text: str) -> str:
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        raise ValueError(f"{_quote(text)} is not a URL") from None
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(f"{_quote(text)} is not an HTTP URL")
    if not port or parts.query or parts.fragment or parts.username is not None:
        raise ValueError(
            f"{_quote(text)} has no port, or parts other than host, port and path"
        )
    return text.rstrip("/")


def _parse_hex_keys(key: Key, text: str) -> tuple[bytes, ...]:
    keys = []
    for number, word in enumerate(text.split(), start=1):
        try:
            value = bytes.fromhex(word)
        except ValueError:
            raise ValueError(f"key {number} is not hexadecimal") from None
        if not MIN_KEY_BYTES <= len(value) <= MAX_KEY_BYTES:
            raise ValueError(f"key {number} has {len(value)} bytes")
        keys.append(value)
    if not keys:
        raise ValueError("no key is given")
    return tuple(keys)


def _parse_seeds(key: Key, text: str) -> tuple[VmAddress, ...]:
    seeds: dict[str, VmAddress] = {}
    for word in text.split():
        seed = _parse_seed(key, word)
        if seed.name in seeds:
            raise ValueError(f"VM {seed.name} is listed twice")
        seeds[seed.name] = seed
    return tuple(seeds.values())


def _parse_seed(key: Key, word: str) -> VmAddress:
    """Return the address in `name=host:port/region/availability_zone`."""
    match = _SEED.match(word)
    if match is None:
        raise ValueError(f"{_quote(word)} is not the address of a VM")
    name, host, port, region, zone = match.groups()
    if not 1 <= int(port[:6]) <= _MAX_PORT:
        raise ValueError(f"{_quote(word)} has a port out of range")
    return VmAddress(
        name=_parse_name(key, name),
        host=_parse_ip_address(key, host.strip("[]")),
        peer_port=int(port),
        region=_parse_name(key, region),
        availability_zone=_parse_name(key, zone),
    )


def _quote(text: str) -> str:
    """Return the start of a value in quotes, for a message."""
    return repr(text[:80])


_PARSERS: dict[Kind, Callable[[Key, str], object]] = {
    Kind.NAME: _parse_name,
    Kind.TEXT: _parse_text,
    Kind.INTEGER: _parse_integer,
    Kind.IP_ADDRESS: _parse_ip_address,
    Kind.CHOICE: _parse_choice,
    Kind.PATH: _parse_path,
    Kind.URL: _parse_url,
    Kind.HEX_KEYS: _parse_hex_keys,
    Kind.SEEDS: _parse_seeds,
}
