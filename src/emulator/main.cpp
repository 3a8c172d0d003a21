/// \file
/// Entry point of stoneport-emulator.
int main() {
  return 2;
}
